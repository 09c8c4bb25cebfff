// Measures the latency that the fleet adds on loopback, and the throughput of one daemon compared with a plain relay.
#include "fleet_process.h"

#include "http_client_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>

#include <pthread.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iostream>
#include <random>

using namespace plumsill;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{
constexpr double LatencyRate = 400; ///< requests per second, direct and proxied ones together
constexpr std::size_t LatencyBatch = 50;
constexpr std::size_t LatencyWarmUp = 400;
constexpr std::size_t LatencyRequests = 10'000;
constexpr std::size_t LatencyConnections = 16; ///< connections to each endpoint
constexpr unsigned Targets = 4;
constexpr unsigned ThroughputConnections = 8; ///< connections of each client thread
constexpr unsigned ClientThreads = 3; ///< a single client thread would limit the rate of the relay
constexpr unsigned ResponderThreads = 2;
constexpr unsigned ThroughputRounds = 20; ///< many short rounds, as the speed of the machine drifts
constexpr auto RoundWarmUp = 100ms;
constexpr auto RoundTime = 400ms;

constexpr double MaxAddedP50 = 0.3; // ms
constexpr double MaxAddedP99 = 4.2; // ms
constexpr double MinThroughputShare = 0.5;

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

void printBounded(const std::string &name, double value, const std::string &unit, const std::string &bound, bool met)
{
    std::cout << name << " " << value << " " << unit << " bound " << bound << " " << (met ? "met" : "MISSED") << std::endl;
}

double loadAverage()
{
    double load = 0;
    return ::getloadavg(&load, 1) == 1 ? load : -1;
}

double toSeconds(const timespec &time)
{
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values.empty() ? 0 : values[std::min(position, values.size() - 1)];
}

std::string document()
{
    return "[service timed]\nfloor = 50%\nslots = 32\nprofile = fast-detection\nobjective = 99.9%\n"
           "[service fast]\nfloor = 50%\nslots = 32\nprofile = fast-detection\nobjective = 99.9%\n"
           "[team red]\nrate = 20000/s\nburst = 10000\nkey = "
        + sha256Hex(test::RedKey)
        + "\n[route timed]\nprefix = /timed\nmethods = GET\nservice = timed\nidempotent = yes\naccess = team\ntimeout = 2s\n"
          "[route fast]\nprefix = /fast\nmethods = GET\nservice = fast\nidempotent = yes\naccess = open\ntimeout = 2s\n";
}

void registerTarget(const test::FleetProcesses &fleet, const std::string &name, const std::string &service, const Endpoint &endpoint)
{
    test::httpCall(fleet.platform, "PUT", "/control/targets/" + name, {},
                   R"({"name":")" + name + R"(","service":")" + service + R"(","zone":"z0","endpoint":")" + toString(endpoint) + R"(","state":"live"})");
}

// --- Latency: open loop with alternating batches of direct and proxied requests.

struct Sample {
    bool proxied = false;
    bool counted = false;
    TimePoint intendedStart;
};

class LatencyRun
{
public:
    LatencyRun(std::vector<Endpoint> direct, std::vector<Endpoint> daemons, std::uint64_t seed)
        : m_direct(std::move(direct))
        , m_daemons(std::move(daemons))
        , m_random(seed)
    { }

    void run()
    {
        asio::co_spawn(m_loop, arrivals(), asio::detached);
        m_loop.run();
    }

    std::vector<double> direct;
    std::vector<double> proxied;
    std::size_t failed = 0;

private:
    struct ConnectionPool {
        std::vector<std::unique_ptr<HttpClient>> idle;
    };

    asio::awaitable<void> arrivals();
    asio::awaitable<void> call(Endpoint endpoint, Sample sample);
    asio::awaitable<void> openConnections(Endpoint endpoint);

    asio::io_context m_loop {1};
    std::vector<Endpoint> m_direct;
    std::vector<Endpoint> m_daemons;
    std::mt19937_64 m_random;
    std::map<std::string, ConnectionPool> m_pools;
};

asio::awaitable<void> LatencyRun::openConnections(Endpoint endpoint)
{
    for (std::size_t count = 0; count < LatencyConnections; ++count) {
        auto client = std::make_unique<HttpClient>(m_loop);
        co_await client->connect(endpoint);
        m_pools[toString(endpoint)].idle.push_back(std::move(client));
    }
}

// Requests don't wait for the answers of earlier ones. Batches of direct and proxied requests alternate, so that a busy
// moment of the machine affects both.
asio::awaitable<void> LatencyRun::arrivals()
{
    for (const auto &endpoint : m_direct) {
        co_await openConnections(endpoint);
    }
    for (const auto &endpoint : m_daemons) {
        co_await openConnections(endpoint);
    }
    std::exponential_distribution<> gap(LatencyRate);
    RuntimeTimer timer(m_loop);
    auto next = RuntimeClock::now();
    for (std::size_t number = 0; number < LatencyWarmUp + LatencyRequests; ++number) {
        next += fromSeconds(gap(m_random));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        const bool proxied = number / LatencyBatch % 2 == 1;
        const auto &endpoints = proxied ? m_daemons : m_direct;
        const auto endpoint = endpoints[number % endpoints.size()];
        asio::co_spawn(m_loop, call(endpoint, {proxied, number >= LatencyWarmUp, next}), asio::detached);
    }
}

asio::awaitable<void> LatencyRun::call(Endpoint endpoint, Sample sample)
{
    auto &idle = m_pools[toString(endpoint)].idle;
    auto client = idle.empty() ? std::make_unique<HttpClient>(m_loop) : std::move(idle.back());
    if (!idle.empty()) {
        idle.pop_back();
    }
    bool connected = client->usable();
    if (!connected) {
        connected = co_await client->connect(endpoint);
    }
    HttpRequest request;
    request.method = "GET";
    request.target = "/timed";
    request.fields = {{"Host", "bench"}};
    if (sample.proxied) {
        request.fields.push_back({"X-Api-Key", test::RedKey});
    }
    const auto result = co_await client->exchange(std::move(request), 5s);
    const bool succeeded = result && result.assume_value().status == 200;
    failed += succeeded ? 0 : 1;
    if (succeeded && sample.counted) {
        (sample.proxied ? proxied : direct).push_back(1000 * seconds(RuntimeClock::now() - sample.intendedStart));
    }
    idle.push_back(std::move(client));
}

// --- Throughput: closed loop through the daemon and through a plain relay, to the same responders.

/// Event loop that runs on a thread of its own.
class LoopThread
{
public:
    LoopThread()
        : m_guard(asio::make_work_guard(loop))
        , m_thread([this] { loop.run(); })
    { }
    ~LoopThread()
    {
        loop.stop();
        m_thread.join();
    }
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    double processorSeconds()
    {
        clockid_t clock {};
        timespec used {};
        ::pthread_getcpuclockid(m_thread.native_handle(), &clock);
        ::clock_gettime(clock, &used);
        return toSeconds(used);
    }

    asio::io_context loop {1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

/// Server side of a connection that answers each request header with the same few bytes.
class Responder : public std::enable_shared_from_this<Responder>
{
public:
    explicit Responder(tcp::socket socket)
        : m_socket(std::move(socket))
    { }
    void read()
    {
        asio::async_read_until(m_socket, asio::dynamic_buffer(m_text), "\r\n\r\n", [self = shared_from_this()](const error_code &error, std::size_t size) {
            if (!error) {
                self->m_text.erase(0, size);
                self->answer();
            }
        });
    }

private:
    void answer()
    {
        static constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 16\r\n\r\n0123456789abcdef";
        asio::async_write(m_socket, asio::buffer(Answer), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error) {
                self->read();
            }
        });
    }

    tcp::socket m_socket;
    std::string m_text;
};

/// Plain relay that copies the bytes of a connection in both directions without parsing them.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(tcp::socket caller, const tcp::endpoint &target)
        : m_caller(std::move(caller))
        , m_target(m_caller.get_executor())
    {
        m_target.connect(target);
        m_target.set_option(tcp::no_delay(true));
    }
    void start()
    {
        copy(m_caller, m_target, m_bytesToTarget);
        copy(m_target, m_caller, m_bytesToCaller);
    }

private:
    using Bytes = std::array<char, 16 * 1024>;

    void copy(tcp::socket &from, tcp::socket &to, Bytes &bytes)
    {
        from.async_read_some(asio::buffer(bytes), [this, self = shared_from_this(), &from, &to, &bytes](const error_code &error, std::size_t count) {
            if (error) {
                close();
                return;
            }
            asio::async_write(to, asio::buffer(bytes.data(), count), [this, self, &from, &to, &bytes](const error_code &failed, std::size_t) {
                if (!failed) {
                    copy(from, to, bytes);
                }
            });
        });
    }
    void close()
    {
        error_code ignored;
        m_caller.close(ignored);
        m_target.close(ignored);
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    Bytes m_bytesToTarget {};
    Bytes m_bytesToCaller {};
};

/// Accepts connections and passes each to @p serve.
class Listener
{
public:
    Listener(asio::io_context &loop, std::function<void(tcp::socket)> serve)
        : m_acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
        , m_serve(std::move(serve))
    {
        accept();
    }
    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    Endpoint endpoint() const { return {"127.0.0.1", address().port()}; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(tcp::no_delay(true));
            m_serve(std::move(socket));
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    std::function<void(tcp::socket)> m_serve;
};

struct ResponderThread {
    LoopThread thread;
    Listener listener {thread.loop, [](tcp::socket socket) { std::make_shared<Responder>(std::move(socket))->read(); }};
};

/// Closed-loop connection, which sends the next request when the answer is complete.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    LoadConnection(asio::io_context &loop, const Endpoint &to, std::uint64_t &answers, std::uint64_t &failures)
        : m_socket(loop)
        , m_answers(answers)
        , m_failures(failures)
    {
        m_socket.connect({asio::ip::make_address(to.address), to.port});
        m_socket.set_option(tcp::no_delay(true));
    }
    void send()
    {
        static constexpr std::string_view Request = "GET /fast HTTP/1.1\r\nHost: bench\r\n\r\n";
        asio::async_write(m_socket, asio::buffer(Request), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error) {
                self->readHead();
            }
        });
    }
    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void readHead()
    {
        asio::async_read_until(m_socket, asio::dynamic_buffer(m_text), "\r\n\r\n", [self = shared_from_this()](const error_code &error, std::size_t size) {
            if (!error) {
                self->readBody(size);
            }
        });
    }
    void readBody(std::size_t headSize)
    {
        static constexpr std::string_view LengthField = "Content-Length: ";
        const bool succeeded = m_text.compare(9, 3, "200") == 0;
        const auto position = m_text.find(LengthField);
        std::size_t length = 0;
        if (position != std::string::npos) {
            std::from_chars(m_text.data() + position + LengthField.size(), m_text.data() + headSize, length);
        }
        const std::size_t answerSize = headSize + length;
        const std::size_t remaining = m_text.size() < answerSize ? answerSize - m_text.size() : 0;
        asio::async_read(m_socket, asio::dynamic_buffer(m_text), asio::transfer_exactly(remaining),
                         [self = shared_from_this(), succeeded, answerSize](const error_code &error, std::size_t) {
                             if (error) {
                                 return;
                             }
                             self->m_text.erase(0, answerSize);
                             ++(succeeded ? self->m_answers : self->m_failures);
                             self->send();
                         });
    }

    tcp::socket m_socket;
    std::uint64_t &m_answers;
    std::uint64_t &m_failures;
    std::string m_text;
};

struct Throughput {
    double rate = 0; ///< answers per second
    double processorTime = 0; ///< microseconds per answer
    std::uint64_t failures = 0;
};

/// Client thread with its connections.
struct Client {
    explicit Client(const Endpoint &to)
    {
        for (unsigned count = 0; count < ThroughputConnections; ++count) {
            connections.push_back(std::make_shared<LoadConnection>(loop, to, answers, failures));
            connections.back()->send();
        }
    }
    std::uint64_t runFor(std::chrono::milliseconds time)
    {
        const std::uint64_t before = answers;
        loop.run_for(time);
        return answers - before;
    }
    void close()
    {
        for (const auto &connection : connections) {
            connection->close();
        }
        loop.run_for(20ms);
    }

    asio::io_context loop {1};
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::vector<std::shared_ptr<LoadConnection>> connections;
};

double runAll(std::vector<std::unique_ptr<Client>> &clients, std::chrono::milliseconds time)
{
    std::vector<std::uint64_t> counts(clients.size());
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < clients.size(); ++number) {
        threads.emplace_back([&, number] { counts[number] = clients[number]->runFor(time); });
    }
    double sum = 0;
    for (std::size_t number = 0; number < clients.size(); ++number) {
        threads[number].join();
        sum += static_cast<double>(counts[number]);
    }
    return sum;
}

Throughput measure(const Endpoint &to, const std::function<double()> &processorSeconds)
{
    std::vector<std::unique_ptr<Client>> clients;
    for (unsigned number = 0; number < ClientThreads; ++number) {
        clients.push_back(std::make_unique<Client>(to));
    }
    runAll(clients, RoundWarmUp);
    const double usedBefore = processorSeconds();
    const auto begin = std::chrono::steady_clock::now();
    const double count = runAll(clients, RoundTime);
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double used = processorSeconds() - usedBefore;
    Throughput result {count / elapsed, 1e6 * used / std::max(count, 1.0), 0};
    for (const auto &client : clients) {
        client->close();
        result.failures += client->failures;
    }
    return result;
}

double processSeconds(pid_t pid)
{
    clockid_t clock {};
    timespec used {};
    ::clock_getcpuclockid(pid, &clock);
    ::clock_gettime(clock, &used);
    return toSeconds(used);
}

// --- Complete run.

bool serves(const test::FleetProcesses &fleet, const std::string &path)
{
    return std::all_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &entry) {
        return test::httpCall(entry.second.traffic, "GET", path, std::string("X-Api-Key: ") + test::RedKey + "\r\n").status == 200;
    });
}

void measureLatency(const test::FleetProcesses &fleet, const std::vector<Endpoint> &targets, std::uint64_t seed)
{
    std::vector<Endpoint> daemons;
    for (const auto &[name, daemon] : fleet.daemons) {
        daemons.push_back(daemon.traffic);
    }
    LatencyRun run(targets, daemons, seed);
    print("latency_load_average", loadAverage(), "processes");
    run.run();
    print("latency_direct_count", static_cast<double>(run.direct.size()), "requests");
    print("latency_proxied_count", static_cast<double>(run.proxied.size()), "requests");
    print("latency_failed", static_cast<double>(run.failed), "requests");
    for (const auto &[name, share] : {std::pair("p50", 0.5), std::pair("p99", 0.99)}) {
        print(std::string("latency_direct_") + name, quantile(run.direct, share), "ms");
        print(std::string("latency_proxied_") + name, quantile(run.proxied, share), "ms");
    }
    const double added50 = quantile(run.proxied, 0.5) - quantile(run.direct, 0.5);
    const double added99 = quantile(run.proxied, 0.99) - quantile(run.direct, 0.99);
    printBounded("latency_added_p50", added50, "ms", "<=0.3", added50 <= MaxAddedP50);
    printBounded("latency_added_p99", added99, "ms", "<=4.2", added99 <= MaxAddedP99);
}

// Rounds through the relay and through the daemon alternate. The median of the rounds is printed.
void measureThroughput(const test::FleetProcesses &fleet, Listener &relay, LoopThread &relayThread)
{
    const auto &daemon = fleet.daemons.at("d0");
    std::vector<double> rates[2];
    std::vector<double> processorTimes[2];
    std::vector<double> shares;
    std::vector<double> processorTimeShares;
    std::uint64_t failures = 0;
    print("throughput_load_average", loadAverage(), "processes");
    for (unsigned round = 0; round < ThroughputRounds; ++round) {
        const auto relayed = measure(relay.endpoint(), [&] { return relayThread.processorSeconds(); });
        const auto proxied = measure(daemon.traffic, [&] { return processSeconds(daemon.process->pid()); });
        rates[0].push_back(relayed.rate);
        rates[1].push_back(proxied.rate);
        processorTimes[0].push_back(relayed.processorTime);
        processorTimes[1].push_back(proxied.processorTime);
        shares.push_back(proxied.rate / std::max(relayed.rate, 1.0));
        processorTimeShares.push_back(relayed.processorTime / proxied.processorTime);
        failures += proxied.failures + relayed.failures;
    }
    print("throughput_failed", static_cast<double>(failures), "requests");
    print("throughput_relay", quantile(rates[0], 0.5), "requests/s");
    print("throughput_daemon", quantile(rates[1], 0.5), "requests/s");
    print("throughput_relay_processor_time", quantile(processorTimes[0], 0.5), "us/request");
    print("throughput_daemon_processor_time", quantile(processorTimes[1], 0.5), "us/request");
    print("throughput_processor_time_share", quantile(processorTimeShares, 0.5), "relay/daemon");
    print("throughput_share_p10", quantile(shares, 0.1), "of_relay");
    print("throughput_share_p90", quantile(shares, 0.9), "of_relay");
    const double share = quantile(shares, 0.5);
    printBounded("throughput_share", share, "of_relay", ">=0.5", share >= MinThroughputShare);
}

int run(std::uint64_t seed, bool onlyThroughput)
{
    test::FleetProcesses fleet(4, 0);
    ResponderThread responders[ResponderThreads];
    LoopThread relayThread;
    unsigned connections = 0;
    Listener relay(relayThread.loop, [&](tcp::socket socket) {
        std::make_shared<Relay>(std::move(socket), responders[connections++ % ResponderThreads].listener.address())->start();
    });
    std::vector<std::unique_ptr<ChildProcess>> processes;
    std::vector<Endpoint> targets;
    for (unsigned number = 0; number < Targets; ++number) {
        const std::string name = "timed" + std::to_string(number);
        processes.push_back(std::make_unique<ChildProcess>(
            "standin-target",
            std::vector<std::string> {"--name", name, "--service", "timed", "--slots", "32", "--service-time", "1ms", "--listen", "127.0.0.1:0"}));
        targets.push_back(readyEndpoint(processes.back()->line(), "http"));
        registerTarget(fleet, name, "timed", targets.back());
        registerTarget(fleet, "fast" + std::to_string(number), "fast", responders[number % ResponderThreads].listener.endpoint());
    }
    const bool up = fleet.promote(document(), "d0") && test::eventually(30s, [&] { return fleet.allMembersOfOneEpoch(); })
        && test::eventually(15s, [&] { return serves(fleet, "/timed") && serves(fleet, "/fast"); });
    if (!up) {
        std::cerr << "bench-proxy: the fleet does not serve requests\n";
        return 1;
    }
    if (!onlyThroughput) {
        measureLatency(fleet, targets, seed);
    }
    measureThroughput(fleet, relay, relayThread);
    return 0;
}
}

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    const bool onlyThroughput = argc > 2 && std::string_view(argv[2]) == "throughput";
    const std::string path = argv[0];
    ::setenv("PLUMSILL_BIN", path.substr(0, path.rfind('/')).c_str(), 0);
    std::cout << "seed " << seed << std::endl;
    return run(seed, onlyThroughput);
}
