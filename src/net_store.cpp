#include "store_p.h"

#include "clock_p.h"
#include "read_answer_head_p.h"

#include <plumsill/ini.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <list>

namespace plumsill
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using Stream = beast::basic_stream<asio::ip::tcp, asio::any_io_executor>;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using HttpResult = StoreResult<Response>;

constexpr std::size_t MaxAnswerBytes = 256 * 1024 * 1024; // a list answer may contain many chunks of documents
constexpr std::size_t MaxIdleConnections = 4;
constexpr auto MaxIdleConnectionAge = std::chrono::seconds(20);

std::string quoted(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> versionOf(const Response &response)
{
    const auto tag = response[http::field::etag];
    std::uint64_t version = 0;
    if (tag.size() < 3 || tag.front() != '"') {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return error == std::errc() && *end == '"' ? std::optional(version) : std::nullopt;
}

StoreError storeError(StoreFault fault, const std::string &message)
{
    return {fault, message};
}

StoreError errorOf(const Response &response)
{
    const std::string status = "status " + std::to_string(response.result_int());
    switch (response.result_int()) {
    case 404:
        return storeError(StoreFault::NotFound, {});
    case 410:
        return storeError(StoreFault::Expired, {});
    case 412:
        return storeError(StoreFault::Conflict, {});
    case 413:
        return storeError(StoreFault::TooLarge, {});
    default:
        // A server error leaves unknown whether a write took effect.
        return storeError(StoreFault::NoAnswer, status);
    }
}

Request makeRequest(http::verb verb, const std::string &target, const std::string &host)
{
    Request request(verb, target, 11);
    request.set(http::field::host, host);
    return request;
}

struct RequestMaker {
    const std::string &host;

    Request operator()(const ReadCall &call) const { return makeRequest(http::verb::get, "/v1/objects/" + call.key, host); }
    Request operator()(const ListCall &call) const { return makeRequest(http::verb::get, "/v1/objects?prefix=" + call.prefix, host); }
    Request operator()(const CreateCall &call) const { return put(call.key, call.value, http::field::if_none_match, "*"); }
    Request operator()(const ReplaceCall &call) const { return put(call.key, call.value, http::field::if_match, quoted(call.expected)); }
    Request operator()(const RemoveCall &call) const
    {
        auto request = makeRequest(http::verb::delete_, "/v1/objects/" + call.key, host);
        request.set(http::field::if_match, quoted(call.expected));
        return request;
    }
    Request put(const std::string &key, const std::string &value, http::field condition, const std::string &tag) const
    {
        auto request = makeRequest(http::verb::put, "/v1/objects/" + key, host);
        request.set(condition, tag);
        request.body() = value;
        request.prepare_payload();
        return request;
    }
};

struct AnswerReader {
    const Response &response;

    ObjectResult operator()(const ReadCall &call) const
    {
        const auto version = versionOf(response);
        if (!version) {
            return storeError(StoreFault::Malformed, "answer without a version");
        }
        return ObjectAnswer(StoredObject {call.key, *version, response.body()});
    }
    ObjectResult operator()(const ListCall & /*call*/) const
    {
        auto list = parseObjectList(response.body());
        return list.has_error() ? ObjectResult(list.error()) : ObjectResult(ObjectAnswer(std::move(list.value())));
    }
    ObjectResult operator()(const CreateCall & /*call*/) const { return written(); }
    ObjectResult operator()(const ReplaceCall & /*call*/) const { return written(); }
    ObjectResult operator()(const RemoveCall & /*call*/) const { return ObjectAnswer(Removed {}); }
    ObjectResult written() const
    {
        const auto version = versionOf(response);
        return version ? ObjectResult(ObjectAnswer(Written {*version})) : ObjectResult(storeError(StoreFault::Malformed, "answer without a version"));
    }
};

bool isRead(const Request &request)
{
    return request.method() == http::verb::get;
}
}

std::optional<Endpoint> parseStoreUrl(const std::string &url)
{
    static const std::string scheme = "http://";
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto rest = url.substr(scheme.size());
    return parseEndpoint(rest.ends_with('/') ? rest.substr(0, rest.size() - 1) : rest);
}

class StoreConnection::Pool
{
public:
    explicit Pool(StoreSettings settings)
        : m_settings(std::move(settings))
        , m_host(toString(m_settings.endpoint))
        , m_budget(m_settings.callsPerSecond, m_settings.callBurst)
        , m_operatorBudget(m_settings.operatorCallsPerSecond, m_settings.operatorCallBurst)
    { }

    const std::string &host() const { return m_host; }

    CallBudget &budget() { return m_budget; }
    CallBudget &operatorBudget() { return m_operatorBudget; }

    asio::awaitable<HttpResult> exchange(Request request, CallBudget &budget)
    {
        if (!co_await waitForBudget(budget)) {
            co_return storeError(StoreFault::Throttled, {});
        }
        auto stream = takeIdle();
        if (stream != nullptr) {
            auto result = co_await exchangeOn(*stream, request);
            // The server may have closed an idle connection. A read is repeated on a new connection; a write isn't, since it
            // may have taken effect.
            if (result.has_value() || !isRead(request)) {
                co_return keepOrCloseConnection(std::move(stream), std::move(result));
            }
            m_idle.clear();
        }
        auto fresh = co_await connect();
        if (fresh.has_error()) {
            co_return fresh.error();
        }
        auto result = co_await exchangeOn(*fresh.value(), request);
        co_return keepOrCloseConnection(std::move(fresh.value()), std::move(result));
    }

    asio::awaitable<StoreResult<std::unique_ptr<Stream>>> connect()
    {
        auto stream = std::make_unique<Stream>(co_await asio::this_coro::executor);
        stream->expires_after(m_settings.callTimeout);
        boost::system::error_code error;
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.endpoint.address, error), m_settings.endpoint.port);
        co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return storeError(StoreFault::Unreachable, error.message());
        }
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return std::move(stream);
    }

    asio::awaitable<bool> waitForBudget(CallBudget &budget)
    {
        const auto deadline = RuntimeClock::now() + m_settings.callTimeout;
        while (const auto wait = budget.take(RuntimeClock::now())) {
            if (RuntimeClock::now() + *wait > deadline) {
                co_return false;
            }
            co_await sleepFor(*wait);
        }
        co_return true;
    }

    // Rejects an object whose version is older than one read before, such as from a lagging replica or a restored
    // backup.
    ObjectResult rejectStale(ObjectResult result)
    {
        const auto *object = result.has_value() ? std::get_if<StoredObject>(&result.value()) : nullptr;
        if (object != nullptr && !m_filter.accept(object->key, object->version)) {
            return storeError(StoreFault::Stale, {});
        }
        return result;
    }

    const StoreSettings &settings() const { return m_settings; }

private:
    struct Idle {
        std::unique_ptr<Stream> stream;
        TimePoint since;
    };

    std::unique_ptr<Stream> takeIdle()
    {
        while (!m_idle.empty()) {
            auto idle = std::move(m_idle.back());
            m_idle.pop_back();
            if (RuntimeClock::now() - idle.since < MaxIdleConnectionAge) {
                return std::move(idle.stream);
            }
        }
        return nullptr;
    }

    asio::awaitable<HttpResult> exchangeOn(Stream &stream, Request &request)
    {
        stream.expires_after(m_settings.callTimeout);
        boost::system::error_code error;
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return storeError(StoreFault::NoAnswer, error.message());
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        error = co_await readAnswerHead(stream, buffer, parser);
        if (!error) {
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            co_return storeError(StoreFault::NoAnswer, error.message());
        }
        co_return parser.release();
    }

    HttpResult keepOrCloseConnection(std::unique_ptr<Stream> stream, HttpResult result)
    {
        if (result.has_error()) {
            // After a failure on one connection the other idle connections may have failed too.
            m_idle.clear();
            return result;
        }
        if (result.value().keep_alive() && m_idle.size() < MaxIdleConnections) {
            stream->expires_never();
            m_idle.push_back({std::move(stream), RuntimeClock::now()});
        }
        if (http::to_status_class(result.value().result()) != http::status_class::successful) {
            return errorOf(result.value());
        }
        return result;
    }

    StoreSettings m_settings;
    std::string m_host;
    CallBudget m_budget;
    CallBudget m_operatorBudget;
    VersionFilter m_filter;
    std::list<Idle> m_idle;
};

StoreConnection::StoreConnection(StoreSettings settings)
    : m_pool(std::make_unique<Pool>(std::move(settings)))
{ }

StoreConnection::~StoreConnection() = default;

asio::awaitable<ObjectResult> StoreConnection::call(ObjectCall call)
{
    return answer(std::move(call), m_pool->budget());
}

asio::awaitable<ObjectResult> StoreConnection::callForOperator(ObjectCall call)
{
    return answer(std::move(call), m_pool->operatorBudget());
}

asio::awaitable<ObjectResult> StoreConnection::answer(ObjectCall call, CallBudget &budget)
{
    auto request = std::visit(RequestMaker {m_pool->host()}, call);
    const auto response = co_await m_pool->exchange(std::move(request), budget);
    if (response.has_error()) {
        co_return response.error();
    }
    co_return m_pool->rejectStale(std::visit(AnswerReader {response.value()}, call));
}

namespace
{
template<class Answer>
StoreResult<Answer> answerAs(ObjectResult result)
{
    if (result.has_error()) {
        return result.error();
    }
    return std::get<Answer>(std::move(result.value()));
}
}

asio::awaitable<StoreResult<StoredObject>> StoreConnection::read(std::string key)
{
    ObjectCall request = ReadCall {std::move(key)};
    co_return answerAs<StoredObject>(co_await call(std::move(request)));
}

asio::awaitable<StoreResult<ObjectList>> StoreConnection::list(std::string prefix)
{
    ObjectCall request = ListCall {std::move(prefix)};
    co_return answerAs<ObjectList>(co_await call(std::move(request)));
}

asio::awaitable<StoreResult<Written>> StoreConnection::create(std::string key, std::string value)
{
    ObjectCall request = CreateCall {std::move(key), std::move(value)};
    co_return answerAs<Written>(co_await call(std::move(request)));
}

asio::awaitable<StoreResult<Written>> StoreConnection::replace(std::string key, std::string value, std::uint64_t expected)
{
    ObjectCall request = ReplaceCall {std::move(key), std::move(value), expected};
    co_return answerAs<Written>(co_await call(std::move(request)));
}

asio::awaitable<StoreResult<Removed>> StoreConnection::remove(std::string key, std::uint64_t expected)
{
    ObjectCall request = RemoveCall {std::move(key), expected};
    co_return answerAs<Removed>(co_await call(std::move(request)));
}

asio::awaitable<StoreResult<std::vector<ListedInstance>>> StoreConnection::instances()
{
    auto request = makeRequest(http::verb::get, "/v1/instances", m_pool->host());
    const auto response = co_await m_pool->exchange(std::move(request), m_pool->budget());
    if (response.has_error()) {
        co_return response.error();
    }
    co_return parseInstances(response.value().body());
}

asio::awaitable<StoreResult<ListedTargets>> StoreConnection::targets()
{
    auto request = makeRequest(http::verb::get, "/v1/targets", m_pool->host());
    const auto response = co_await m_pool->exchange(std::move(request), m_pool->budget());
    if (response.has_error()) {
        co_return response.error();
    }
    co_return parseTargets(response.value().body());
}

namespace
{
// Passes the event of each complete line to the handler and removes these lines from the text, so that an incomplete
// last line remains. Returns the error of the first line that can't be parsed.
std::optional<StoreError> dispatchLines(std::string &text, const std::function<void(const WatchEvent &)> &handler)
{
    std::size_t start = 0;
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        const auto line = text.substr(start, end - start);
        start = end + 1;
        const auto event = line.empty() || line == "\r" ? std::nullopt : std::optional(parseWatchEvent(line));
        if (event && event->has_error()) {
            return event->error();
        }
        if (event) {
            handler(event->value());
        }
    }
    text.erase(0, start);
    return std::nullopt;
}

asio::awaitable<StoreError> readWatch(Stream &stream, beast::flat_buffer &buffer, http::response_parser<http::buffer_body> &parser,
                                      const std::function<void(const WatchEvent &)> &handler)
{
    std::vector<char> block(64 * 1024);
    std::string text;
    WatchMonitor monitor(RuntimeClock::now());
    while (!parser.is_done()) {
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        stream.expires_after(monitor.deadline() - RuntimeClock::now());
        boost::system::error_code error;
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            co_return storeError(StoreFault::NoAnswer, error.message());
        }
        const auto length = block.size() - parser.get().body().size;
        text.append(block.data(), length);
        if (length > 0) {
            monitor.recordActivity(RuntimeClock::now());
        }
        if (auto fault = dispatchLines(text, handler)) {
            co_return *fault;
        }
    }
    co_return storeError(StoreFault::NoAnswer, "the server ended the watch");
}
}

asio::awaitable<StoreError> StoreConnection::watch(std::string prefix, std::uint64_t from, std::function<void(const WatchEvent &)> handler)
{
    if (!co_await m_pool->waitForBudget(m_pool->budget())) {
        co_return storeError(StoreFault::Throttled, {});
    }
    auto connected = co_await m_pool->connect();
    if (connected.has_error()) {
        co_return connected.error();
    }
    auto &stream = *connected.value();
    stream.expires_after(m_pool->settings().callTimeout);
    const auto request = makeRequest(http::verb::get, "/v1/watch?prefix=" + prefix + "&from=" + std::to_string(from), m_pool->host());
    boost::system::error_code error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    if (!error) {
        error = co_await readAnswerHead(stream, buffer, parser);
    }
    if (error) {
        co_return storeError(StoreFault::NoAnswer, error.message());
    }
    if (parser.get().result_int() != 200) {
        Response response(parser.get().result(), 11);
        co_return errorOf(response);
    }
    co_return co_await readWatch(stream, buffer, parser, handler);
}
}
