#include "admin_api_p.h"

#include <plumsill/ini.h>
#include <plumsill/log.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <ctime>

namespace plumsill
{
namespace
{
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::size_t DefaultHistoryEntries = 20;
constexpr std::size_t MaxAuthorBytes = 64;

/// Parsed request target: path segments after /v1 and query parameters.
struct AdminPath {
    std::vector<std::string> segments;
    std::vector<std::pair<std::string, std::string>> parameters;
};

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find(separator, start), text.size());
        parts.emplace_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

AdminPath parsePath(std::string_view target)
{
    AdminPath path;
    const auto queryStart = std::min(target.find('?'), target.size());
    auto segments = split(target.substr(1, queryStart - 1), '/');
    path.segments.assign(segments.begin() + 1, segments.end());
    for (const auto &parameter : split(target.substr(std::min(queryStart + 1, target.size())), '&')) {
        const auto equals = std::min(parameter.find('='), parameter.size());
        path.parameters.emplace_back(parameter.substr(0, equals), parameter.substr(std::min(equals + 1, parameter.size())));
    }
    return path;
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::uint64_t numberParameter(const AdminPath &path, const std::string &name, std::uint64_t fallback)
{
    const auto found = std::find_if(path.parameters.begin(), path.parameters.end(), [&](const auto &parameter) { return parameter.first == name; });
    const auto number = found == path.parameters.end() ? std::nullopt : parseVersion(found->second);
    return number.value_or(fallback);
}

AdminResponse respond(http::status status, const json::value &body)
{
    AdminResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body) + "\n";
    response.prepare_payload();
    return response;
}

json::array toJson(const std::vector<IniProblem> &problems)
{
    json::array list;
    for (const auto &problem : problems) {
        list.push_back(json::object {{"file", problem.file}, {"line", problem.line}, {"field", problem.field}, {"reason", problem.reason}});
    }
    return list;
}

AdminResponse failure(http::status status, const std::string &code, const std::string &message, json::array problems = {})
{
    return respond(status, json::object {{"error", json::object {{"code", code}, {"message", message}, {"problems", std::move(problems)}}}});
}

AdminResponse failure(const StoreError &error)
{
    if (error.fault == StoreFault::NotFound) {
        return failure(http::status::not_found, "no-document", "the environment has no document yet");
    }
    return failure(http::status::service_unavailable, "store-unavailable", "store: " + toString(error));
}

AdminResponse toResponse(const ChangeReply &reply)
{
    switch (reply.outcome) {
    case ChangeOutcome::Accepted:
    case ChangeOutcome::Stored:
        return respond(
            http::status::ok,
            json::object {{"outcome", toString(reply.outcome)}, {"version", reply.stamp.version}, {"digest", reply.stamp.digest}, {"reason", reply.reason}});
    case ChangeOutcome::Unknown:
        return failure(http::status::gateway_timeout, "unknown", reply.reason);
    case ChangeOutcome::Conflict:
        return failure(http::status::conflict, "conflict", reply.reason);
    case ChangeOutcome::Refused:
        break;
    }
    return reply.problems.empty() ? failure(http::status::service_unavailable, "refused", reply.reason)
                                  : failure(http::status::unprocessable_entity, "invalid", reply.reason, toJson(reply.problems));
}

std::string utcNow()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    std::array<char, 32> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

std::string newWriteId()
{
    std::string bytes(16, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    return sha256Hex(bytes).substr(0, 32);
}

// The name is written to logs and the history, so characters such as line ends and quotes are replaced.
std::string authorOf(const AdminRequest &request)
{
    const auto given = request["Plumsill-Operator"];
    std::string author(given.substr(0, MaxAuthorBytes));
    const auto isUnsafe = [](unsigned char c) { return std::isalnum(c) == 0 && c != '.' && c != '-' && c != '_' && c != '@'; };
    std::replace_if(author.begin(), author.end(), isUnsafe, '_');
    return author.empty() ? "unnamed" : author;
}

/// The document version that a change refers to, from If-Match: "N". If-None-Match: * gives 0, which means that no
/// document exists yet. None if neither field is present and well-formed.
std::optional<std::uint64_t> replacedVersion(const AdminRequest &request)
{
    if (request[http::field::if_none_match] == "*") {
        return 0;
    }
    const auto tag = request[http::field::if_match];
    const bool quoted = tag.size() > 2 && tag.front() == '"' && tag.back() == '"';
    return quoted ? parseVersion({tag.data() + 1, tag.size() - 2}) : std::nullopt;
}

AdminResponse methodNotAllowed(const char *allowed)
{
    auto response = failure(http::status::method_not_allowed, "method-not-allowed", std::string("allowed: ") + allowed);
    response.set(http::field::allow, allowed);
    return response;
}

AdminResponse missingCondition()
{
    return failure(http::status::precondition_required, "no-version", "needs If-Match with the version that is replaced, or If-None-Match: *");
}

AdminResponse unauthorized()
{
    auto response = failure(http::status::unauthorized, "unauthorized", "needs the administration token");
    response.set(http::field::www_authenticate, "Bearer");
    return response;
}

void logChange(const ChangeOrder &order, const char *action, const ChangeReply &reply)
{
    logInfo(LogPart::Admin,
            std::string(action) + " by " + order.author + ": " + toString(reply.outcome) + ", version " + std::to_string(reply.stamp.version) + ", digest "
                + reply.stamp.digest.substr(0, 12) + ", write " + order.writeId);
}

asio::awaitable<AdminResponse> change(const AdminContext &context, const AdminRequest &request, ChangeRequest requestedChange, const char *action)
{
    const bool inTrial = !std::holds_alternative<PromoteRequest>(requestedChange);
    const bool ownEnvironment = context.environment == (inTrial ? TrialEnvironment : ProductionEnvironment);
    ChangeOrder order {std::move(requestedChange), authorOf(request), utcNow(), newWriteId(), context.environment, ownEnvironment ? context.held().version : 0};
    const auto reply = co_await runChange(order, context.store, context.holders);
    logChange(order, action, reply);
    co_return toResponse(reply);
}

asio::awaitable<AdminResponse> listEnvironments(const AdminContext &context)
{
    json::array list;
    for (const std::string name : {TrialEnvironment, ProductionEnvironment}) {
        const auto manifest = co_await readManifest(context.store, name);
        if (manifest.has_error() && manifest.error().fault != StoreFault::NotFound) {
            co_return failure(manifest.error());
        }
        const auto stamp = manifest.has_value() ? manifest.value().stamp : DocumentStamp {};
        list.push_back(json::object {{"name", name}, {"version", stamp.version}, {"digest", stamp.digest}});
    }
    co_return respond(http::status::ok, json::object {{"environments", std::move(list)}});
}

asio::awaitable<AdminResponse> showDocument(const AdminContext &context, std::string environment)
{
    const auto document = co_await readDocument(context.store, std::move(environment));
    if (document.has_error()) {
        co_return failure(document.error());
    }
    const auto &stamp = document.value().manifest.stamp;
    auto response = respond(http::status::ok, json::object {{"version", stamp.version}, {"digest", stamp.digest}, {"text", document.value().text}});
    response.set(http::field::etag, '"' + std::to_string(stamp.version) + '"');
    co_return response;
}

asio::awaitable<AdminResponse> putDocument(const AdminContext &context, const AdminRequest &request, const std::string &environment)
{
    if (environment != TrialEnvironment) {
        co_return failure(http::status::conflict, "not-trial", "documents are put to trial, proved there, and promoted");
    }
    const auto replaces = replacedVersion(request);
    if (!replaces) {
        co_return missingCondition();
    }
    ChangeRequest put = PutRequest {request.body(), *replaces};
    co_return co_await change(context, request, std::move(put), "put");
}

asio::awaitable<AdminResponse> prove(const AdminContext &context, const AdminRequest &request)
{
    const auto version = replacedVersion(request);
    if (!version) {
        co_return missingCondition();
    }
    ChangeRequest proving = ProveRequest {*version};
    co_return co_await change(context, request, std::move(proving), "prove");
}

std::optional<std::string> digestIn(const std::string &body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *digest = object == nullptr ? nullptr : object->if_contains("digest");
    return digest != nullptr && digest->is_string() ? std::optional(std::string(digest->as_string())) : std::nullopt;
}

asio::awaitable<AdminResponse> promote(const AdminContext &context, const AdminRequest &request)
{
    const auto replaces = replacedVersion(request);
    if (!replaces) {
        co_return missingCondition();
    }
    const auto digest = digestIn(request.body());
    if (!digest) {
        co_return failure(http::status::bad_request, "bad-body", "needs {\"digest\": \"...\"} of the document proved in trial");
    }
    ChangeRequest promotion = PromoteRequest {*digest, *replaces};
    co_return co_await change(context, request, std::move(promotion), "promote");
}

asio::awaitable<AdminResponse> check(const AdminContext &context, const AdminRequest &request, std::string environment)
{
    const auto parsed = parseDocument(request.body(), "document");
    if (!parsed.valid()) {
        co_return failure(http::status::unprocessable_entity, "invalid", "the document is invalid", toJson(parsed.problems));
    }
    const auto stored = co_await readDocument(context.store, std::move(environment));
    if (stored.has_error() && stored.error().fault != StoreFault::NotFound) {
        co_return failure(stored.error());
    }
    const auto before = stored.has_value() ? parseDocument(stored.value().text, "document").document : Document {};
    json::array changes;
    for (const auto &item : diffDocuments(before, parsed.document)) {
        changes.push_back(json::string(toString(item)));
    }
    const auto version = stored.has_value() ? stored.value().manifest.stamp.version : 0;
    co_return respond(http::status::ok, json::object {{"digest", sha256Hex(request.body())}, {"version", version}, {"changes", std::move(changes)}});
}

asio::awaitable<AdminResponse> history(const AdminContext &context, const AdminPath &path, std::string environment)
{
    const auto manifest = co_await readManifest(context.store, std::move(environment));
    if (manifest.has_error()) {
        co_return failure(manifest.error());
    }
    const auto limit = std::clamp<std::uint64_t>(numberParameter(path, "limit", DefaultHistoryEntries), 1, config::MaxHistoryEntries);
    const auto after = numberParameter(path, "after", std::numeric_limits<std::uint64_t>::max());
    json::array entries;
    json::value next;
    for (const auto &entry : manifest.value().history) {
        if (entry.version >= after) {
            continue;
        }
        if (entries.size() == limit) {
            next = entries.back().at("version");
            break;
        }
        entries.push_back(
            json::object {{"version", entry.version}, {"digest", entry.digest}, {"author", entry.author}, {"action", entry.action}, {"time", entry.time}});
    }
    co_return respond(http::status::ok, json::object {{"entries", std::move(entries)}, {"next", next}});
}

struct EnvironmentCall {
    std::string environment;
    std::string action;
};

asio::awaitable<AdminResponse> answerDocumentCall(const AdminContext &context, const AdminRequest &request, std::string environment)
{
    if (request.method() == http::verb::get) {
        co_return co_await showDocument(context, std::move(environment));
    }
    if (request.method() != http::verb::put) {
        co_return methodNotAllowed("GET, PUT");
    }
    if (!authorized(request, context.token)) {
        co_return unauthorized();
    }
    co_return co_await putDocument(context, request, environment);
}

asio::awaitable<AdminResponse> answerChangingCall(const AdminContext &context, const AdminRequest &request, bool isProof)
{
    if (request.method() != http::verb::post) {
        co_return methodNotAllowed("POST");
    }
    if (!authorized(request, context.token)) {
        co_return unauthorized();
    }
    if (isProof) {
        co_return co_await prove(context, request);
    }
    co_return co_await promote(context, request);
}

asio::awaitable<AdminResponse> answerHistoryCall(const AdminContext &context, const AdminRequest &request, const AdminPath &path)
{
    if (request.method() != http::verb::get) {
        co_return methodNotAllowed("GET");
    }
    co_return co_await history(context, path, path.segments[1]);
}

asio::awaitable<AdminResponse> answerCheckCall(const AdminContext &context, const AdminRequest &request, std::string environment)
{
    if (request.method() != http::verb::post) {
        co_return methodNotAllowed("POST");
    }
    co_return co_await check(context, request, std::move(environment));
}

asio::awaitable<AdminResponse> answerEnvironmentCall(const AdminContext &context, const AdminRequest &request, const AdminPath &path)
{
    const auto &environment = path.segments[1];
    const auto &action = path.segments[2];
    if (action == "document") {
        co_return co_await answerDocumentCall(context, request, environment);
    }
    if (action == "history") {
        co_return co_await answerHistoryCall(context, request, path);
    }
    if (action == "check") {
        co_return co_await answerCheckCall(context, request, environment);
    }
    const bool isProof = action == "prove" && environment == TrialEnvironment;
    const bool isPromotion = action == "promote" && environment == ProductionEnvironment;
    if (!isProof && !isPromotion) {
        co_return failure(http::status::not_found, "not-found", "no such resource");
    }
    co_return co_await answerChangingCall(context, request, isProof);
}
}

bool isAdminApi(std::string_view target)
{
    return target.starts_with("/v1/");
}

bool authorized(const AdminRequest &request, std::string_view token)
{
    static constexpr std::string_view Scheme = "Bearer ";
    const auto value = request[http::field::authorization];
    const std::string_view given(value.data(), value.size());
    const auto presented = given.substr(std::min(Scheme.size(), given.size()));
    // Digests have a fixed length, so the time of the comparison reveals nothing about the token's length.
    const auto expected = sha256Hex(std::string(token));
    const auto actual = sha256Hex(std::string(presented));
    return !token.empty() && given.starts_with(Scheme) && CRYPTO_memcmp(expected.data(), actual.data(), expected.size()) == 0;
}

asio::awaitable<AdminResponse> answerAdminCall(const AdminContext &context, const AdminRequest &request)
{
    const auto target = request.target();
    const auto path = parsePath({target.data(), target.size()});
    const bool get = request.method() == http::verb::get;
    if (path.segments == std::vector<std::string> {"status"}) {
        co_return get ? respond(http::status::ok, context.status()) : methodNotAllowed("GET");
    }
    if (path.segments == std::vector<std::string> {"environments"}) {
        if (!get) {
            co_return methodNotAllowed("GET");
        }
        co_return co_await listEnvironments(context);
    }
    if (path.segments.size() == 3 && path.segments[0] == "environments" && isEnvironment(path.segments[1])) {
        co_return co_await answerEnvironmentCall(context, request, path);
    }
    co_return failure(http::status::not_found, "not-found", "no such resource");
}
}
