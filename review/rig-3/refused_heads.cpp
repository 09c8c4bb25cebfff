// Case 12: while a tenant asks for more than its rate, the refusals of its HEAD requests carry a body, which stands on the kept connection where the
// next answer is due.
#include "rig.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <iostream>

#include <poll.h>

using namespace review;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace
{
constexpr const char *Zone = "osu";
constexpr const char *Key = "ctnfzs989anu6wsjnban";
constexpr unsigned Connections = 10;
constexpr unsigned UsualPerSecond = 10; ///< of the tenant, on all connections
constexpr double HotFactor = 7.5; ///< the largest dose of hot_tenant
constexpr double RatePerSecond = 1.6 * UsualPerSecond; ///< as the sites allow their tenants
constexpr auto TrafficTime = std::chrono::seconds(12);
constexpr auto HotFrom = std::chrono::seconds(3);
constexpr auto HotUntil = std::chrono::milliseconds(9500);

struct Findings {
    std::size_t requests = 0;
    std::map<std::string, std::size_t> answers; ///< by method and status
    std::size_t foreignBytes = 0; ///< answers to HEAD with bytes behind their head
    std::size_t lostAnswers = 0; ///< requests behind such bytes whose answer can't be read
};

/// A client that keeps its connection and sends one request after the other, by turns HEAD and GET.
class KeptConnection
{
public:
    KeptConnection(asio::io_context &loop, Deployment &deployment, const Balancer &balancer, unsigned number, Findings &findings, std::ofstream &record)
        : m_deployment(deployment)
        , m_balancer(balancer)
        , m_number(number)
        , m_findings(findings)
        , m_record(record)
        , m_socket(loop)
    { }

    asio::awaitable<void> run(bool trouble)
    {
        const auto start = Clock::now();
        while (Clock::now() - start < TrafficTime) {
            const auto sinceStart = Clock::now() - start;
            const bool hot = trouble && sinceStart >= HotFrom && sinceStart < HotUntil;
            const double perSecond = UsualPerSecond * (hot ? HotFactor : 1.0) / Connections;
            co_await exchange();
            co_await pause(Milliseconds(static_cast<int>(1000 / perSecond)));
        }
    }

private:
    asio::awaitable<void> exchange()
    {
        error_code error;
        if (!m_socket.is_open()) {
            m_text.clear();
            m_foreign = false;
            co_await m_socket.async_connect(m_deployment.front(m_balancer.choose(m_number)), asio::redirect_error(asio::use_awaitable, error));
        }
        const std::string method = m_sent % 2 == 0 ? "HEAD" : "GET";
        const std::string id = "c" + std::to_string(m_number) + "-" + std::to_string(m_sent++);
        const std::string request = method + " /route/sheet HTTP/1.1\r\nHost: orders.example\r\nPlumsill-Request-Id: " + id
            + "\r\nPlumsill-Deadline-Ms: 3000\r\nAuthorization: Bearer " + Key + "\r\n\r\n";
        co_await asio::async_write(m_socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
        ++m_findings.requests;
        co_await asio::async_read_until(m_socket, asio::dynamic_buffer(m_text), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            m_record << id << " " << method << ": no answer (" << error.message() << ")\n";
            m_findings.lostAnswers += m_foreign ? 1 : 0;
            close();
            co_return;
        }
        if (!m_text.starts_with("HTTP/1.1 ")) {
            m_record << id << " " << method << ": MIXED: no answer in the protocol: " << m_text.substr(0, m_text.find("\r\n")) << "\n";
            ++m_findings.lostAnswers;
            close();
            co_return;
        }
        co_await finish(id, method);
    }

    asio::awaitable<void> finish(std::string id, std::string method)
    {
        const auto end = m_text.find("\r\n\r\n") + 4;
        const std::string head = m_text.substr(0, end);
        const std::string status = head.substr(9, 3);
        m_text.erase(0, end);
        ++m_findings.answers[method + " " + status];
        const auto length = head.find("Content-Length: ");
        const std::size_t bytes = method == "HEAD" || length == std::string::npos ? 0 : std::stoul(head.substr(length + 16));
        error_code error;
        if (m_text.size() < bytes) {
            co_await asio::async_read(m_socket, asio::dynamic_buffer(m_text), asio::transfer_exactly(bytes - m_text.size()),
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        m_text.erase(0, bytes);
        m_record << id << " " << method << ": " << status << "\n";
        // No request is waiting now, so nothing may arrive.
        if (method == "HEAD" && m_text.empty()) {
            co_await (asio::async_read(m_socket, asio::dynamic_buffer(m_text), asio::transfer_at_least(1), asio::redirect_error(asio::use_awaitable, error))
                      || pause(Milliseconds(20)));
        }
        if (!m_text.empty()) {
            ++m_findings.foreignBytes;
            m_foreign = true;
            m_record << id << " " << method << ": MIXED: bytes behind its answer, with no request waiting: " << m_text << "\n";
        } else if (head.find("Connection: close") != std::string::npos || error == asio::error::eof) {
            close();
        }
    }

    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
    }

    Deployment &m_deployment;
    const Balancer &m_balancer;
    const unsigned m_number;
    Findings &m_findings;
    std::ofstream &m_record;
    tcp::socket m_socket;
    std::string m_text; ///< received and not yet used
    unsigned m_sent = 0;
    bool m_foreign = false; ///< bytes that are no answer have arrived on this connection
};

boost::json::object configurationOfDay()
{
    return configuration("00000003",
                         {resource("routes", "route-lookup",
                                   {{"host", "orders.example"},
                                    {"path-prefix", "/route/"},
                                    {"service", "routes"},
                                    {"kind", "idempotent"},
                                    {"attempts", 2},
                                    {"timeout-ms", 3000},
                                    {"target-latency-ms", 1500},
                                    {"priority", 1}}),
                          resource("services", "routes", {{"max-connections", 330}, {"health-path", "/health"}}),
                          resource("tenants", "kitchen", {{"api-keys", {Key}}, {"rate-per-s", RatePerSecond}, {"burst", RatePerSecond}})});
}

int run(const std::string &programs, const std::string &recordFile, bool trouble)
{
    std::ofstream record(recordFile);
    Deployment deployment(programs);
    const bool published = deployment.publish(configurationOfDay());
    for (unsigned number = 0; number < 6; ++number) {
        deployment.startBackend({"r" + std::to_string(number), "routes", Zone, 6, 100});
    }
    for (const std::string name : {"edge-1", "edge-2", "edge-3"}) {
        deployment.startDaemon(name, Zone, true);
    }
    if (!published || !deployment.waitUntilReady()) {
        std::cout << "the deployment did not start\n";
        return 2;
    }
    asio::io_context loop;
    Balancer balancer(loop, deployment);
    Findings findings;
    std::vector<std::unique_ptr<KeptConnection>> connections;
    for (unsigned number = 0; number < Connections; ++number) {
        connections.push_back(std::make_unique<KeptConnection>(loop, deployment, balancer, number, findings, record));
        asio::co_spawn(loop, connections.back()->run(trouble), asio::detached);
    }
    loop.run_for(TrafficTime + std::chrono::seconds(5));
    for (const auto &[answer, count] : findings.answers) {
        std::cout << answer << ": " << count << "\n";
    }
    std::cout << findings.requests << " requests; " << findings.foreignBytes << " answers with bytes behind them, " << findings.lostAnswers
              << " later answers that can't be read\n";
    if (findings.requests < 50) {
        return 2;
    }
    return findings.foreignBytes + findings.lostAnswers == 0 ? 0 : 1;
}
}

int main(int argc, const char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: refused_heads PROGRAMS RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], std::string(argv[3]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "refused_heads: " << error.what() << "\n";
        return 2;
    }
}
