#include "session_p.h"

#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>

namespace plumsill
{
namespace http = boost::beast::http;

namespace
{
constexpr std::array HopByHopFields {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
};

constexpr const char *LineEnd = "\r\n";

const char *outcomeText(RunOutcome outcome)
{
    return outcome == RunOutcome::NotRun ? "not-run" : "unknown";
}

// Value of the Retry-After field. The time is rounded up, since an earlier retry would be refused again.
std::string retryAfterText(Duration duration, bool fractional)
{
    if (fractional) {
        const auto tenths = std::max<std::int64_t>(std::chrono::ceil<std::chrono::duration<std::int64_t, std::deci>>(duration).count(), 1);
        return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
    }
    const auto whole = std::chrono::ceil<std::chrono::seconds>(duration).count();
    return std::to_string(std::max<std::int64_t>(whole, 1));
}

std::string withFieldsAndBody(std::string text, const http::fields &fields, const std::string &body)
{
    text += LineEnd;
    for (const auto &field : fields) {
        text += field.name_string();
        text += ": ";
        text += field.value();
        text += LineEnd;
    }
    text += LineEnd;
    text += body;
    return text;
}

// Sets the field, or removes it when the value is empty, so that a value sent by the caller is never taken for one set by this daemon.
void setOrErase(http::fields &fields, const std::string &name, const std::string &value)
{
    if (name.empty()) {
        return;
    }
    if (value.empty()) {
        fields.erase(name);
    } else {
        fields.set(name, value);
    }
}

Refusal badRequest(const std::string &message)
{
    return {400, "bad-request", message, std::nullopt, {}};
}
}

void removeHopByHopFields(http::fields &fields)
{
    std::vector<std::string> named;
    const auto [begin, end] = fields.equal_range(http::field::connection);
    for (auto field = begin; field != end; ++field) {
        for (const auto &name : http::token_list(field->value())) {
            named.emplace_back(name);
        }
    }
    for (const auto &name : named) {
        fields.erase(name);
    }
    for (const auto field : HopByHopFields) {
        fields.erase(field);
    }
}

TargetAnswer refusalAnswer(const Refusal &refusal, const Dialect &dialect)
{
    TargetAnswer answer(http::int_to_status(refusal.status), 11);
    answer.set(http::field::content_type, "application/json");
    if (refusal.outcome && !dialect.outcome.empty()) {
        answer.set(dialect.outcome, outcomeText(*refusal.outcome));
    }
    if (refusal.retryAfter > Duration::zero()) {
        answer.set(http::field::retry_after, retryAfterText(refusal.retryAfter, dialect.fractionalRetryAfter));
    }
    if (refusal.status == 401) {
        answer.set(http::field::www_authenticate, "Bearer");
    }
    const boost::json::value body = {{"error", {{"code", refusal.code}, {"message", refusal.message}}}};
    answer.body() = boost::json::serialize(body) + "\n";
    answer.prepare_payload();
    return answer;
}

// The parser rejects a Content-Length next to a chunked body, and Content-Length fields whose values differ. Repeated fields of the same value, and transfer
// codings other than "chunked", are rejected here, because another HTTP implementation could frame such a message differently (request smuggling).
std::optional<Refusal> checkFraming(const CallerRequestHeader &header)
{
    if (header.count(http::field::content_length) > 1) {
        return badRequest("more than one Content-Length");
    }
    const auto coding = header.find(http::field::transfer_encoding);
    if (coding != header.end()) {
        const bool plain = header.count(http::field::transfer_encoding) == 1 && boost::beast::iequals(coding->value(), "chunked");
        if (!plain || header.find(http::field::content_length) != header.end()) {
            return badRequest("transfer coding other than chunked, or beside a length");
        }
    }
    if (header.count(http::field::host) != 1) {
        return badRequest("not one Host");
    }
    if (header.method() == http::verb::connect || header.method() == http::verb::trace || header.find(http::field::upgrade) != header.end()) {
        return badRequest("tunnels and upgrades are not served");
    }
    if (!header.target().starts_with('/')) {
        return badRequest("not an absolute path");
    }
    return std::nullopt;
}

// RFC 9112, 3.2.2: the host of a request target in absolute form replaces the Host field. The request target is reduced to its path and query.
bool convertToOriginForm(CallerRequestHeader &header)
{
    static constexpr std::string_view Scheme = "http://";
    const std::string target(header.target());
    if (target.size() <= Scheme.size() || !boost::beast::iequals(target.substr(0, Scheme.size()), Scheme)) {
        return false;
    }
    const auto end = std::min(target.find_first_of("/?", Scheme.size()), target.size());
    const std::string host = target.substr(Scheme.size(), end - Scheme.size());
    if (host.empty() || host.find('@') != std::string::npos) {
        return false;
    }
    const std::string path = target.substr(end);
    header.set(http::field::host, host);
    header.target(path.starts_with('/') ? path : "/" + path);
    return true;
}

// Beast's serializer produces several buffers per field. One contiguous string is cheaper and needs a single system call.
std::string wireText(const TargetAnswer &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.result_int()) + " ";
    text += answer.reason();
    return withFieldsAndBody(std::move(text), answer, answer.body());
}

std::string wireText(const TargetRequest &request)
{
    std::string text(request.method_string());
    text += " ";
    text += request.target();
    text += " HTTP/1.1";
    return withFieldsAndBody(std::move(text), request, request.body());
}

TargetRequest requestForTarget(const CallerRequest &request, const AddedFields &addedFields, const Dialect &dialect)
{
    TargetRequest forwarded = request;
    removeHopByHopFields(forwarded);
    forwarded.erase("X-Api-Key");
    forwarded.erase(http::field::authorization);
    forwarded.erase(http::field::expect);
    forwarded.version(11);
    if (dialect.generatesRequestIds && forwarded.find(dialect.requestId) == forwarded.end()) {
        forwarded.set(dialect.requestId, addedFields.requestId);
    }
    setOrErase(forwarded, dialect.callerAddress, addedFields.callerAddress);
    setOrErase(forwarded, dialect.team, addedFields.team.value);
    setOrErase(forwarded, dialect.targetName, {});
    if (!forwarded.body().empty() || request.find(http::field::content_length) != request.end() || request.chunked()) {
        forwarded.content_length(forwarded.body().size());
    }
    return forwarded;
}
}
