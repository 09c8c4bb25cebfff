#include "../src/store_directory_p.h"

#include <plumsill/document.h>
#include <plumsill/ini.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>

/// Command line client for operators. It uses the administration API of the daemons, and the store for a fleet in zones.
namespace
{
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using namespace plumsill;

constexpr auto CallTimeout = std::chrono::seconds(30);
constexpr std::size_t MaxAnswerBytes = 512 * 1024 * 1024;

enum ExitCode
{
    Done = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    UnknownOutcome = 4,
    Unreachable = 5,
};

/// Ends the program with @p code; the message goes to stderr.
struct Failure : std::runtime_error {
    Failure(ExitCode code, const std::string &message)
        : std::runtime_error(message)
        , code(code)
    { }
    ExitCode code;
};

struct Options {
    std::vector<Endpoint> admins;
    std::string token;
    std::string environment;
    std::string author;
    std::string digest;
    std::string store;
    std::optional<std::uint64_t> replaces;
    int limit = 20;
    std::uint64_t after = 0;
    bool json = false;
};

struct ApiCall {
    http::verb verb = http::verb::get;
    std::string path;
    std::string body;
    std::optional<std::uint64_t> replaces;
};

using Response = http::response<http::string_body>;

http::request<http::string_body> makeRequest(const Options &options, const ApiCall &call, const Endpoint &admin)
{
    http::request<http::string_body> request(call.verb, "/v1/" + call.path, 11);
    request.set(http::field::host, toString(admin));
    request.set(http::field::connection, "close");
    if (call.verb != http::verb::get) {
        request.set("Plumsill-Operator", options.author);
        request.set(http::field::authorization, "Bearer " + options.token);
    }
    if (call.replaces && *call.replaces == 0) {
        request.set(http::field::if_none_match, "*");
    } else if (call.replaces) {
        request.set(http::field::if_match, '"' + std::to_string(*call.replaces) + '"');
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

/// Result of one call to one daemon.
struct Attempt {
    std::optional<Response> response;
    bool sent = false; ///< whether the daemon may have received the call
    std::string error;
};

Attempt attempt(const Options &options, const ApiCall &call, const Endpoint &admin)
{
    boost::asio::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const auto request = makeRequest(options, call, admin);
    Attempt result;
    const auto read = [&](beast::error_code error, std::size_t /*bytes*/) {
        result.error = error ? error.message() : "";
        if (!error) {
            result.response = parser.release();
        }
    };
    const auto write = [&](beast::error_code error, std::size_t /*bytes*/) {
        result.error = error ? error.message() : "";
        if (!error) {
            http::async_read(stream, buffer, parser, read);
        }
    };
    const auto connected = [&](beast::error_code error) {
        result.error = error ? error.message() : "";
        result.sent = !error;
        if (!error) {
            http::async_write(stream, request, write);
        }
    };
    stream.expires_after(CallTimeout);
    stream.async_connect({boost::asio::ip::make_address(admin.address), admin.port}, connected);
    context.run();
    return result;
}

// Calls the daemons in turn until one answers. A call that changes something isn't repeated at the next daemon once the
// previous one may have received it.
Response send(const Options &options, const ApiCall &call)
{
    std::string error = "no daemon given: use --admin IP:PORT";
    for (const auto &admin : options.admins) {
        auto result = attempt(options, call, admin);
        if (result.response) {
            return std::move(*result.response);
        }
        error = toString(admin) + ": " + result.error;
        if (result.sent && call.verb != http::verb::get) {
            throw Failure(UnknownOutcome, "unknown outcome: " + error);
        }
    }
    throw Failure(Unreachable, error);
}

std::string stringAt(const json::value &value, const char *key)
{
    return std::string(value.at(key).as_string());
}

ExitCode exitCodeOf(unsigned status)
{
    const std::map<unsigned, ExitCode> codes {{409, Conflict}, {504, UnknownOutcome}, {503, Refused}, {401, Refused}, {422, Refused}};
    const auto found = codes.find(status);
    return found == codes.end() ? Refused : found->second;
}

std::string describe(const json::value &error, const std::string &file)
{
    std::string message = stringAt(error, "code") + ": " + stringAt(error, "message");
    for (const auto &problem : error.at("problems").as_array()) {
        const IniProblem place {file, problem.at("line").to_number<unsigned>(), stringAt(problem, "field"), stringAt(problem, "reason")};
        message += "\n" + toString(place);
    }
    return message;
}

json::value call(const Options &options, const ApiCall &apiCall, const std::string &file = "document")
{
    const auto response = send(options, apiCall);
    json::value body;
    try {
        body = json::parse(response.body());
        if (response.result_int() == 200) {
            return body;
        }
        throw Failure(exitCodeOf(response.result_int()), describe(body.at("error"), file));
    } catch (const Failure &) {
        throw;
    } catch (const std::exception &) {
        throw Failure(Unreachable, "cannot parse the answer, status " + std::to_string(response.result_int()));
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        throw Failure(Usage, path + ": cannot be read");
    }
    return content.str();
}

std::string environmentPath(const std::string &environment, const char *action)
{
    return "environments/" + environment + "/" + action;
}

/// Version and digest of the document in force in an environment; the version is zero where there is no document.
struct CurrentDocument {
    std::uint64_t version = 0;
    std::string digest;
};

CurrentDocument currentDocument(const Options &options, const std::string &environment)
{
    const auto body = call(options, {http::verb::get, "environments", {}, {}});
    for (const auto &item : body.at("environments").as_array()) {
        if (stringAt(item, "name") == environment) {
            return {item.at("version").to_number<std::uint64_t>(), stringAt(item, "digest")};
        }
    }
    throw Failure(Refused, "unknown environment " + environment);
}

void print(const Options &options, const json::value &body, const std::string &line)
{
    std::cout << (options.json ? json::serialize(body) : line) << "\n";
}

std::string outcomeLine(const json::value &body)
{
    return stringAt(body, "outcome") + ": version " + std::to_string(body.at("version").to_number<std::uint64_t>()) + ", digest " + stringAt(body, "digest")
        + ", " + stringAt(body, "reason");
}

// The outcome "stored" counts as success only in the trial environment, which may have no daemons that could accept the
// document.
ExitCode printOutcome(const Options &options, const json::value &body, bool inTrial)
{
    print(options, body, outcomeLine(body));
    return stringAt(body, "outcome") == "accepted" || inTrial ? Done : UnknownOutcome;
}

std::string environmentOr(const Options &options, const char *defaultValue)
{
    return options.environment.empty() ? defaultValue : options.environment;
}

ExitCode check(const Options &options, const std::vector<std::string> &arguments)
{
    const auto &file = arguments.at(0);
    const auto body = call(options, {http::verb::post, environmentPath(environmentOr(options, "trial"), "check"), readFile(file), {}}, file);
    print(options, body, "ok: digest " + stringAt(body, "digest"));
    return Done;
}

ExitCode diff(const Options &options, const std::vector<std::string> &arguments)
{
    const auto &file = arguments.at(0);
    const auto body = call(options, {http::verb::post, environmentPath(environmentOr(options, "production"), "check"), readFile(file), {}}, file);
    std::string lines;
    for (const auto &change : body.at("changes").as_array()) {
        lines += (lines.empty() ? "" : "\n") + std::string(change.as_string());
    }
    print(options, body, lines.empty() ? "no difference" : lines);
    return Done;
}

ExitCode put(const Options &options, const std::vector<std::string> &arguments)
{
    const auto &file = arguments.at(0);
    const auto content = readFile(file);
    const auto replaces = options.replaces ? *options.replaces : currentDocument(options, "trial").version;
    const auto body = call(options, {http::verb::put, environmentPath("trial", "document"), content, replaces}, file);
    return printOutcome(options, body, true);
}

ExitCode prove(const Options &options, const std::vector<std::string> & /*arguments*/)
{
    const auto version = options.replaces ? *options.replaces : currentDocument(options, "trial").version;
    const auto body = call(options, {http::verb::post, environmentPath("trial", "prove"), {}, version});
    return printOutcome(options, body, true);
}

ExitCode promote(const Options &options, const std::vector<std::string> & /*arguments*/)
{
    const auto digest = options.digest.empty() ? currentDocument(options, "trial").digest : options.digest;
    const auto replaces = options.replaces ? *options.replaces : currentDocument(options, "production").version;
    const auto body = json::serialize(json::object {{"digest", digest}});
    return printOutcome(options, call(options, {http::verb::post, environmentPath("production", "promote"), body, replaces}), false);
}

ExitCode history(const Options &options, const std::vector<std::string> & /*arguments*/)
{
    std::string path = environmentPath(environmentOr(options, "production"), "history") + "?limit=" + std::to_string(options.limit);
    if (options.after > 0) {
        path += "&after=" + std::to_string(options.after);
    }
    const auto body = call(options, {http::verb::get, path, {}, {}});
    std::string lines;
    for (const auto &entry : body.at("entries").as_array()) {
        lines += (lines.empty() ? "" : "\n") + std::to_string(entry.at("version").to_number<std::uint64_t>()) + "  " + stringAt(entry, "time") + "  "
            + stringAt(entry, "action") + "  " + stringAt(entry, "author") + "  " + stringAt(entry, "digest");
    }
    print(options, body, lines.empty() ? "no changes" : lines);
    return Done;
}

ExitCode status(const Options &options, const std::vector<std::string> & /*arguments*/)
{
    const auto body = call(options, {http::verb::get, "status", {}, {}});
    std::string lines;
    for (const auto &[name, value] : body.as_object()) {
        lines += (lines.empty() ? "" : "\n") + std::string(name) + ": " + json::serialize(value);
    }
    print(options, body, lines);
    return Done;
}

boost::asio::awaitable<void> writeDocument(StoreConnection &store, std::string content, std::optional<std::uint64_t> replaces, StoreResult<Written> &written)
{
    std::uint64_t expected = replaces.value_or(0);
    if (!replaces) {
        const auto currentDocument = co_await store.read(storekeys::Document);
        if (currentDocument.has_error() && currentDocument.error().fault != StoreFault::NotFound) {
            written = currentDocument.error();
            co_return;
        }
        expected = currentDocument.has_value() ? currentDocument.value().version : 0;
    }
    if (expected == 0) {
        written = co_await store.create(storekeys::Document, std::move(content));
    } else {
        written = co_await store.replace(storekeys::Document, std::move(content), expected);
    }
}

ExitCode exitCodeOf(StoreFault fault)
{
    const std::map<StoreFault, ExitCode> codes {{StoreFault::Conflict, Conflict},
                                                {StoreFault::Unreachable, Unreachable},
                                                {StoreFault::NoAnswer, UnknownOutcome},
                                                {StoreFault::Malformed, UnknownOutcome}};
    const auto found = codes.find(fault);
    return found == codes.end() ? Refused : found->second;
}

ExitCode publish(const Options &options, const std::vector<std::string> &arguments)
{
    const auto &file = arguments.at(0);
    const auto content = readFile(file);
    for (const auto &problem : parseDocument(content, file).problems) {
        std::cerr << toString(problem) << "\n";
    }
    if (!parseDocument(content, file).problems.empty()) {
        throw Failure(Refused, file + ": not published");
    }
    const auto endpoint = parseStoreUrl(options.store);
    if (!endpoint) {
        throw Failure(Usage, "--store: not http://IP:PORT: " + options.store);
    }
    StoreSettings settings;
    settings.endpoint = *endpoint;
    StoreConnection store(settings);
    boost::asio::io_context loop;
    StoreResult<Written> written = StoreError();
    boost::asio::co_spawn(loop, writeDocument(store, content, options.replaces, written), boost::asio::detached);
    loop.run();
    if (written.has_error()) {
        throw Failure(exitCodeOf(written.error().fault), toString(written.error()));
    }
    const json::object body {{"outcome", "accepted"}, {"version", written.value().version}};
    print(options, body, "accepted: version " + std::to_string(written.value().version));
    return Done;
}

struct Command {
    std::size_t arguments = 0;
    std::function<ExitCode(const Options &, const std::vector<std::string> &)> run;
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all {
        {"check", {1, check}},     {"diff", {1, diff}},       {"put", {1, put}},       {"prove", {0, prove}},
        {"promote", {0, promote}}, {"history", {0, history}}, {"status", {0, status}}, {"publish", {1, publish}},
    };
    return all;
}

constexpr const char *Help = "COMMAND [FILE]\n"
                             "\n"
                             "Commands:\n"
                             "  check FILE   check a document without changing anything\n"
                             "  diff FILE    show what FILE would change in --env (default: production)\n"
                             "  put FILE     make FILE the document of trial\n"
                             "  prove        prove the document of trial\n"
                             "  promote      make the proved document the one of production\n"
                             "  history      list the changes of --env (default: production), newest first\n"
                             "  status       show the state of the daemon\n"
                             "  publish FILE write FILE to the store of a fleet in zones (--store)\n"
                             "\n"
                             "Exit status: 0 done, 1 refused or invalid, 2 usage, 3 conflict, 4 unknown outcome,\n"
                             "5 no daemon reached.\n"
                             "\n"
                             "Options:";

/// Option values as popt stores them, before they are checked.
struct RawOptions {
    char *admins = nullptr;
    char *tokenFile = nullptr;
    char *environment = nullptr;
    char *author = nullptr;
    char *digest = nullptr;
    char *store = nullptr;
    long long replaces = -1;
    long long after = 0;
    int limit = 20;
    int json = 0;
    int version = 0;
};

std::string valueOr(const char *value, const char *defaultValue)
{
    return value != nullptr ? value : defaultValue;
}

std::vector<Endpoint> parseAdmins(const std::string &list)
{
    std::vector<Endpoint> admins;
    for (const auto &item : splitList(list)) {
        const auto endpoint = parseEndpoint(item);
        if (!endpoint) {
            throw Failure(Usage, "--admin: " + item + " is not IP:PORT");
        }
        admins.push_back(*endpoint);
    }
    return admins;
}

std::string readToken(const std::string &path)
{
    auto token = path.empty() ? std::string() : readFile(path);
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' ')) {
        token.pop_back();
    }
    return token;
}

Options toOptions(const RawOptions &raw)
{
    Options options;
    options.admins = parseAdmins(valueOr(raw.admins, valueOr(std::getenv("PLUMSILL_ADMIN"), "").c_str()));
    options.token = readToken(valueOr(raw.tokenFile, valueOr(std::getenv("PLUMSILL_TOKEN_FILE"), "").c_str()));
    options.environment = valueOr(raw.environment, "");
    options.author = valueOr(raw.author, valueOr(std::getenv("USER"), "unnamed").c_str());
    options.digest = valueOr(raw.digest, "");
    options.store = valueOr(raw.store, valueOr(std::getenv("PLUMSILL_STORE"), "").c_str());
    options.limit = raw.limit;
    options.after = raw.after > 0 ? static_cast<std::uint64_t>(raw.after) : 0;
    options.json = raw.json != 0;
    if (raw.replaces >= 0) {
        options.replaces = static_cast<std::uint64_t>(raw.replaces);
    }
    return options;
}

ExitCode run(poptContext context, const RawOptions &raw)
{
    std::vector<std::string> arguments;
    while (const char *argument = poptGetArg(context)) {
        arguments.emplace_back(argument);
    }
    const auto command = arguments.empty() ? commands().end() : commands().find(arguments.front());
    if (command == commands().end()) {
        throw Failure(Usage, arguments.empty() ? "no command; see --help" : arguments.front() + ": unknown command; see --help");
    }
    arguments.erase(arguments.begin());
    if (arguments.size() != command->second.arguments) {
        throw Failure(Usage, command->first + ": takes " + std::to_string(command->second.arguments) + " argument(s); see --help");
    }
    return command->second.run(toOptions(raw), arguments);
}
}

int main(int argc, const char **argv)
{
    RawOptions raw;
    const std::array<poptOption, 13> table {{
        {"admin", 'a', POPT_ARG_STRING, &raw.admins, 0, "admin ports of daemons, tried in turn", "IP:PORT[,..]"},
        {"token-file", 't', POPT_ARG_STRING, &raw.tokenFile, 0, "file with the administration token", "FILE"},
        {"env", 'e', POPT_ARG_STRING, &raw.environment, 0, "environment", "trial|production"},
        {"operator", 'o', POPT_ARG_STRING, &raw.author, 0, "name for the history (default: $USER)", "NAME"},
        {"digest", 'd', POPT_ARG_STRING, &raw.digest, 0, "digest to promote (default: the one in trial)", "SHA256"},
        {"store", 's', POPT_ARG_STRING, &raw.store, 0, "store of a fleet in zones (default: $PLUMSILL_STORE)", "http://IP:PORT"},
        {"replaces", 'r', POPT_ARG_LONGLONG, &raw.replaces, 0, "version to replace or prove (default: the current one)", "VERSION"},
        {"limit", 'n', POPT_ARG_INT, &raw.limit, 0, "history entries", "COUNT"},
        {"after", 0, POPT_ARG_LONGLONG, &raw.after, 0, "history entries older than this version", "VERSION"},
        {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
        {"version", 'V', POPT_ARG_NONE, &raw.version, 0, "print the version", nullptr},
        POPT_AUTOHELP {nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
    }};
    poptContext context = poptGetContext("plumsillctl", argc, argv, table.data(), 0);
    poptSetOtherOptionHelp(context, Help);
    int code = Usage;
    const int bad = poptGetNextOpt(context);
    if (bad < -1) {
        std::cerr << "plumsillctl: " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(bad) << "\n";
    } else if (raw.version != 0) {
        std::cout << "plumsillctl " << PLUMSILL_VERSION << "\n";
        code = Done;
    } else {
        try {
            code = run(context, raw);
        } catch (const Failure &failure) {
            std::cerr << "plumsillctl: " << failure.what() << "\n";
            code = failure.code;
        }
    }
    poptFreeContext(context);
    return code;
}
