// Loopback proxy that injects faults into the connections of each link: delays, resets, one-way cuts, and connections that
// stay open but pass on no bytes.
#include "../src/http_common_p.h"
#include "../src/socket_p.h"
#include "../src/standin_p.h"

#include <plumsill/ini.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <popt.h>

#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <set>

using namespace plumsill;
using namespace plumsill::standin;
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{
constexpr Duration CutPollInterval = std::chrono::milliseconds(20); // interval at which a relay checks whether the cut of a direction has ended
constexpr std::size_t ChunkBytes = 16 * 1024;

/// Faults of a link. A cut in one direction holds back the bytes of that direction and passes them on when the cut ends.
struct LinkFaults {
    bool cutTowardsServer = false;
    bool cutTowardsCaller = false;
    Duration delay {}; ///< delay of each chunk of bytes that is passed on
};

class Link;

/// Connection of a caller and the matching connection to the server.
struct Relay {
    Relay(const asio::any_io_executor &executor, tcp::socket caller)
        : callerSocket(std::move(caller))
        , serverSocket(executor)
    { }

    tcp::socket callerSocket;
    tcp::socket serverSocket;
    bool blackholed = false; ///< passes on no further bytes until it is closed
};

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Listening port that relays its connections to one server.
class Link
{
public:
    Link(asio::io_context &loop, const Endpoint &listen, Endpoint server)
        : m_loop(loop)
        , m_acceptor(loop, toAsio(listen))
        , m_server(std::move(server))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    Endpoint endpoint() const
    {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }
    void setServer(Endpoint server) { m_server = std::move(server); }
    void setFaults(const LinkFaults &faults) { m_faults = faults; }
    void resetAll()
    {
        for (const auto &relay : m_relays) {
            reset(relay->callerSocket);
            reset(relay->serverSocket);
        }
    }
    void blackholeAll()
    {
        for (const auto &relay : m_relays) {
            relay->blackholed = true;
        }
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket = co_await m_acceptor.async_accept(errorInto(error));
            if (!error) {
                auto relay = std::make_shared<Relay>(m_acceptor.get_executor(), std::move(socket));
                asio::co_spawn(m_loop, serve(relay), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Relay> relay)
    {
        m_relays.insert(relay);
        while (m_faults.cutTowardsServer || m_faults.cutTowardsCaller) {
            co_await sleepFor(CutPollInterval);
        }
        boost::system::error_code error;
        co_await relay->serverSocket.async_connect(toAsio(m_server), errorInto(error));
        if (error) {
            reset(relay->callerSocket);
            m_relays.erase(relay);
            co_return;
        }
        relay->callerSocket.set_option(tcp::no_delay(true), error);
        relay->serverSocket.set_option(tcp::no_delay(true), error);
        asio::co_spawn(m_loop, forward(relay, false), asio::detached);
        co_await forward(relay, true);
        m_relays.erase(relay);
    }

    asio::awaitable<void> forward(std::shared_ptr<Relay> relay, bool towardsServer)
    {
        tcp::socket &from = towardsServer ? relay->callerSocket : relay->serverSocket;
        tcp::socket &to = towardsServer ? relay->serverSocket : relay->callerSocket;
        const bool &cut = towardsServer ? m_faults.cutTowardsServer : m_faults.cutTowardsCaller;
        std::array<char, ChunkBytes> chunk {};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = co_await from.async_read_some(asio::buffer(chunk), errorInto(error));
            if (m_faults.delay > Duration::zero()) {
                co_await sleepFor(m_faults.delay);
            }
            while ((cut || relay->blackholed) && from.is_open()) {
                co_await sleepFor(CutPollInterval);
            }
            boost::system::error_code writeError;
            if (count > 0) {
                co_await asio::async_write(to, asio::buffer(chunk.data(), count), errorInto(writeError));
            }
            error = error ? error : writeError;
        }
        if (error == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, error);
        } else {
            reset(from);
            reset(to);
        }
    }

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    Endpoint m_server;
    LinkFaults m_faults;
    std::set<std::shared_ptr<Relay>> m_relays;
};

class Proxy
{
public:
    Proxy(asio::io_context &loop, std::string address)
        : m_loop(loop)
        , m_address(std::move(address))
    { }

    // PUT /control/links/NAME creates or changes a link and answers with the address on which it listens.
    asio::awaitable<Answer> control(Request request)
    {
        static const std::string path = "/control/links/";
        if (!request.path.starts_with(path) || request.method != "PUT") {
            co_return Answer {404};
        }
        const json::value parsed = json::parse(request.body);
        const json::object &body = parsed.as_object();
        auto &link = m_links[request.path.substr(path.size())];
        if (const auto *server = body.if_contains("server")) {
            const auto endpoint = parseEndpoint(std::string(server->as_string()));
            if (!endpoint) {
                co_return Answer {400};
            }
            if (link) {
                link->setServer(*endpoint);
            } else {
                link = std::make_unique<Link>(m_loop, Endpoint {m_address, 0}, *endpoint);
            }
        }
        if (!link) {
            co_return Answer {404};
        }
        apply(*link, body);
        co_return jsonAnswer(200, json::serialize(json::object {{"listen", toString(link->endpoint())}}));
    }

private:
    static bool flag(const json::object &body, const char *name)
    {
        const auto *found = body.if_contains(name);
        return found != nullptr && found->as_bool();
    }

    // Sets the faults of a link; faults that the body doesn't name are off.
    static void apply(Link &link, const json::object &body)
    {
        const auto *delay = body.if_contains("delay_ms");
        link.setFaults({flag(body, "cut_to"), flag(body, "cut_from"), std::chrono::milliseconds(delay == nullptr ? 0 : delay->to_number<std::int64_t>())});
        if (flag(body, "reset")) {
            link.resetAll();
        }
        if (flag(body, "silence")) {
            link.blackholeAll();
        }
    }

    asio::io_context &m_loop;
    std::string m_address;
    std::map<std::string, std::unique_ptr<Link>> m_links;
};
}

int main(int argc, const char **argv)
{
    const char *listen = "127.0.0.1:0";
    const poptOption options[]
        = {{"listen", 'l', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &listen, 0, "address of the control port; links listen on the same IP", "IP:PORT"},
           POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin-proxy", argc, argv, options, 0);
    const int bad = poptGetNextOpt(context);
    const auto endpoint = parseEndpoint(listen);
    if (bad < -1 || !endpoint) {
        std::cerr << "standin-proxy: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
        return 2;
    }
    asio::io_context loop;
    Proxy proxy(loop, endpoint->address);
    HttpServer server(
        loop, *endpoint, [&proxy](Request request) { return proxy.control(std::move(request)); }, OnClose::Finish);
    stopOnSignal(loop, [&loop] { loop.stop(); });
    std::cout << "ready http=" << toString(server.endpoint()) << std::endl;
    loop.run();
    poptFreeContext(context);
    return 0;
}
