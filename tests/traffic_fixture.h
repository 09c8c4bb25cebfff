#pragma once

#include "traffic_p.h"

#include <boost/asio.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Traffic thread with a document and scripted targets. The test stands in for control.
namespace plumsill::test
{
using boost::asio::ip::tcp;

/// Reaction of a scripted target to one request.
struct Script {
    std::string answer; ///< bytes sent after the request has been read
    bool closeAfter = false; ///< the connection is closed after the answer
    bool resetAfter = false; ///< the connection is reset after the answer
    std::string rest {}; ///< bytes sent after the pause
    Duration pause {};
};

/// Target that answers each request by the next script. The last script applies to all further requests.
class ScriptedTarget
{
public:
    /// @p delay: time before each answer.
    explicit ScriptedTarget(std::vector<Script> scripts, Duration delay = Duration::zero())
        : m_scripts(scripts.begin(), scripts.end())
        , m_delay(delay)
        , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this] { run(); })
    { }
    ~ScriptedTarget()
    {
        boost::asio::post(m_context, [this] { m_context.stop(); });
        m_thread.join();
    }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /// Number of requests received.
    std::size_t runs() const { return m_runs; }
    /// Number of connections accepted.
    std::size_t connections() const { return m_connections; }
    /// Header of the last request received.
    std::string lastRequest()
    {
        const std::lock_guard lock(m_mutex);
        return m_last;
    }

    /// Number of requests received, by their X-Request-Id.
    std::map<std::string, unsigned> runsById()
    {
        const std::lock_guard lock(m_mutex);
        return m_runsById;
    }

private:
    static std::string fieldOf(const std::string &head, const std::string &name)
    {
        const auto position = head.find("\r\n" + name + ": ");
        if (position == std::string::npos) {
            return {};
        }
        const auto begin = position + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }
    void run()
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
        m_context.run();
    }
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            ++m_connections;
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }
    Script nextScript()
    {
        Script script = m_scripts.front();
        if (m_scripts.size() > 1) {
            m_scripts.pop_front();
        }
        return script;
    }
    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        boost::system::error_code error;
        auto token = [&error] { return boost::asio::redirect_error(boost::asio::use_awaitable, error); };
        while (true) {
            const auto size = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", token());
            if (error) {
                co_return;
            }
            ++m_runs;
            {
                const std::lock_guard lock(m_mutex);
                m_last = buffer.substr(0, size);
                ++m_runsById[fieldOf(m_last, "X-Request-Id")];
            }
            buffer.clear();
            const Script script = nextScript();
            if (m_delay > Duration::zero()) {
                co_await sleepFor(m_delay);
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(script.answer), token());
            if (!script.rest.empty()) {
                co_await sleepFor(script.pause);
                co_await boost::asio::async_write(socket, boost::asio::buffer(script.rest), token());
            }
            if (script.resetAfter) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            }
            if (script.closeAfter || script.resetAfter || error) {
                co_return;
            }
        }
    }

    std::deque<Script> m_scripts;
    const Duration m_delay;
    boost::asio::io_context m_context {1};
    tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_runs {0};
    std::atomic<std::size_t> m_connections {0};
    std::mutex m_mutex;
    std::string m_last;
    std::map<std::string, unsigned> m_runsById;
    std::thread m_thread;
};

/// Document with two teams and an idempotent, a non-idempotent and an open route.
inline Document testDocument()
{
    Document document;
    document.services = {{{"lookup"}, 0.5, 3, {}, 0.999}};
    document.teams = {{{"red"}, 100, 100, {sha256Hex("red-key-0001")}}, {{"blue"}, 100, 100, {sha256Hex("blue-key-0001")}}};
    Route listing {{"listing"}, "", "/listing", {"GET", "HEAD"}, {"lookup"}, true, false, {}, std::chrono::seconds(5), 1024};
    Route order {{"order"}, "", "/order", {"POST"}, {"lookup"}, false, false, {{"red"}}, std::chrono::seconds(5), 1024};
    Route open {{"open"}, "", "/open", {}, {"lookup"}, true, true, {}, std::chrono::seconds(5), 1024};
    document.routes = {listing, order, open};
    return document;
}

/// Connection of a caller.
class CallerConnection
{
public:
    /// @p receiveBytes: size of the kernel's receive buffer, small for a slow reader; 0: the system's default.
    explicit CallerConnection(const Endpoint &endpoint, int receiveBytes = 0)
        : m_socket(m_context, tcp::v4())
    {
        if (receiveBytes > 0) {
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
        }
        m_socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    }

    void send(const std::string &bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    /// Sends bytes; false when the connection has failed.
    bool trySend(const std::string &bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }
    /// Closes the sending side only.
    void endSending() { m_socket.shutdown(tcp::socket::shutdown_send); }
    /// Reads that many bytes.
    std::string read(std::size_t bytes)
    {
        std::string text(bytes, ' ');
        boost::asio::read(m_socket, boost::asio::buffer(text));
        return text;
    }
    /// Sends bytes and reads until the connection is closed, or until @p until is seen. Appends "[reset]" when the connection fails.
    std::string sendAndRead(const std::string &bytes, const std::string &until = {})
    {
        send(bytes);
        std::string answer;
        boost::system::error_code error;
        while (!error && (until.empty() || answer.find(until) == std::string::npos)) {
            std::array<char, 4096> chunk {};
            const auto count = m_socket.read_some(boost::asio::buffer(chunk), error);
            answer.append(chunk.data(), count);
        }
        if (error && error != boost::asio::error::eof) {
            answer += "[reset]";
        }
        return answer;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

/// Running traffic thread whose control is replaced by the test.
class TrafficFixture
{
public:
    TrafficFixture()
    {
        ControlPort control;
        control.report = [this](const TrafficReport &report) {
            const std::lock_guard lock(m_mutex);
            m_metrics.add(report);
        };
        control.requestToken = [this](const TokenRequest &request) {
            if (beforeToken) {
                beforeToken();
            }
            m_thread->resolveToken(request.waiter, tokenAnswer);
        };
        m_thread = std::make_unique<TrafficThread>(MemberId {{"d0"}, 1}, 0, 1, control);
        m_endpoint = m_thread->open({"127.0.0.1", 0});
        m_runner = std::thread([this] { m_thread->run(); });
    }
    ~TrafficFixture()
    {
        m_thread->stop();
        m_runner.join();
    }
    TrafficFixture(const TrafficFixture &) = delete;
    TrafficFixture &operator=(const TrafficFixture &) = delete;

    /// Publishes @p document with these targets of the service "lookup".
    void publish(const Document &document, const std::vector<Endpoint> &targets, TimePoint trustedUntil)
    {
        const boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
        snapshot->compiled = new CompiledDocument({1, "digest"}, std::make_shared<const Document>(document));
        ServiceView view;
        view.service = {"lookup"};
        view.slots = 3;
        for (const auto &endpoint : targets) {
            const Target target {{"t" + std::to_string(endpoint.port)}, {"lookup"}, {"a"}, endpoint, false};
            view.targets.push_back({target, TargetUse::Active, 1});
        }
        snapshot->services.emplace(view.service, std::make_shared<const ServiceView>(view));
        snapshot->trustedUntil = trustedUntil;
        snapshot->limits = limits;
        snapshot->closeAt = closeAt;
        snapshot->takeBy = takeBy;
        m_thread->publish(snapshot);
    }
    void publish(const std::vector<Endpoint> &targets) { publish(testDocument(), targets, TimePoint::max()); }

    const Endpoint &endpoint() const { return m_endpoint; }
    /// Sends bytes on a new connection and reads until it is closed, or until @p until is seen.
    std::string sendAndRead(const std::string &bytes, const std::string &until = {}) { return CallerConnection(m_endpoint).sendAndRead(bytes, until); }

    InstanceLimits limits; ///< published with the next snapshot
    TimePoint closeAt = TimePoint::max(); ///< time from which connections take no further request; published with the next snapshot
    TimePoint takeBy = TimePoint::max(); ///< time from which requests are refused; published with the next snapshot
    std::function<void()> beforeToken; ///< called while a request waits for its token
    /// Control's answer to each token request.
    TokenAnswer tokenAnswer {true, TimePoint::max(), {}, {}, nullptr};

private:
    std::unique_ptr<TrafficThread> m_thread;
    Endpoint m_endpoint;
    std::thread m_runner;
    std::mutex m_mutex;
    Metrics m_metrics;
};
}
