#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Rig of the review's scripts: a small deployment of real daemons with the project's stand-ins, a balancer and clients on loopback.
namespace review
{
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Child process; it is killed when the object or the rig ends.
class Process
{
public:
    /// Starts @p arguments with one more environment variable. Its output goes into @p output, or into a pipe where that is empty.
    Process(const std::vector<std::string> &arguments, const std::string &variable, const std::string &output);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// The endpoint NAME=IP:PORT of the line that a stand-in prints when it is ready.
    Endpoint readyEndpoint(const std::string &name);

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_line;
};

/// Answer to a call; status 0 where there was none.
struct Reply {
    unsigned status = 0;
    std::string body;
};

/// Sends one request on a new connection and waits for the answer until the connection ends.
Reply call(const Endpoint &to, const std::string &method, const std::string &path, const std::string &fields = {}, const std::string &body = {});

struct Backend {
    std::string name;
    std::string service;
    std::string zone;
    unsigned slots = 6;
    unsigned workMilliseconds = 100;
};

/// Milliseconds of the Unix time.
std::int64_t unixMilliseconds();

/// One run of a request at a backend.
struct Run {
    std::string backend;
    std::string service;
    std::string id;
    std::string path;
    std::int64_t startedAt = 0; ///< Unix time in milliseconds
};

/// The platform's store, backends and daemons.
class Deployment
{
public:
    /// @p programs: folder of the programs of the deploy file and of the stand-ins.
    explicit Deployment(std::string programs);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Writes the configuration as the operator does.
    bool publish(const boost::json::object &configuration);
    void startBackend(const Backend &backend);
    /// Starts a backend whose entry the rig keeps in the store, so that the entry can be removed while the backend serves on.
    void startBackendWithoutDrain(const Backend &backend);
    /// Removes that entry; returns the Unix time of the store's acknowledgement.
    std::int64_t removeEntry();
    /// Lets each daemon that is started later reach the store through a link of its own.
    void startProxy();
    /// Partitions the daemon from the store, or ends that.
    void cutFromStore(const std::string &daemon, bool cut);
    /// Starts a daemon as the deploy file says. One that is started again keeps its name and address.
    void startDaemon(const std::string &name, const std::string &zone, bool bootstrap);
    Process &daemon(const std::string &name) { return *m_daemons.at(name); }
    std::vector<std::string> daemonNames() const;
    Endpoint front(const std::string &daemon) const;
    Endpoint readiness(const std::string &daemon) const;
    bool allReady();
    /// Waits until all daemons are ready and know each other; false after 20 s.
    bool waitUntilReady();
    /// Value of a metric of a daemon; -1 where it is missing.
    double metric(const std::string &daemon, const std::string &name);
    /// All runs that the backends have seen.
    std::vector<Run> runs();

private:
    std::string writeSettings(const std::string &name, const std::string &zone, bool bootstrap);
    boost::asio::ip::address address(unsigned host) const;
    std::string startBackendProcess(const Backend &backend, const std::vector<std::string> &options);
    /// Address at which the daemon finds the store.
    Endpoint storeFor(const std::string &daemon);

    const std::string m_programs;
    const std::string m_network;
    const std::string m_folder;
    std::unique_ptr<Process> m_store;
    Endpoint m_storeAddress;
    Endpoint m_storeControl;
    std::map<std::string, std::pair<Backend, Endpoint>> m_backends; ///< with their control addresses
    std::vector<std::unique_ptr<Process>> m_backendProcesses;
    std::unique_ptr<Process> m_proxy;
    Endpoint m_proxyControl;
    std::string m_entryName;
    std::jthread m_entryWriter;
    std::map<std::string, unsigned> m_hosts; ///< last part of each daemon's address
    std::map<std::string, std::unique_ptr<Process>> m_daemons;
};

/// Forwards connections as the platform does: one probe a second, out after two misses, by a hash of the client.
class Balancer
{
public:
    Balancer(boost::asio::io_context &loop, Deployment &deployment);

    /// Name of the daemon that gets the client's next connection.
    std::string choose(unsigned client) const;
    bool inRotation(const std::string &daemon) const { return m_misses.at(daemon) < MaxMisses; }

private:
    static constexpr unsigned MaxMisses = 2;

    boost::asio::awaitable<void> probe(std::string daemon);

    Deployment &m_deployment;
    std::map<std::string, unsigned> m_misses;
};

/// One request of a client and its answer.
struct Exchange {
    std::string id;
    std::string method;
    std::string path;
    std::string daemon;
    double sentAt = 0; ///< seconds since the start of the traffic
    double endedAt = 0;
    Reply reply;
};

/// Requests of one kind that clients send.
struct Traffic {
    std::string method;
    std::string path;
    unsigned perSecond = 1;
    unsigned budgetMilliseconds = 4000;
};

/// Clients that send requests at even intervals, each on a new connection.
class Clients
{
public:
    Clients(boost::asio::io_context &loop, Deployment &deployment, const Balancer &balancer, std::string key);

    boost::asio::awaitable<void> send(Traffic traffic, unsigned firstClient);
    void stop() { m_stopped = true; }
    const std::vector<std::shared_ptr<Exchange>> &exchanges() const { return m_exchanges; }
    /// Number of requests that were sent to the daemon.
    std::size_t sentTo(const std::string &daemon) const;
    double now() const;

private:
    boost::asio::awaitable<void> exchange(std::shared_ptr<Exchange> exchange, unsigned budgetMilliseconds);

    boost::asio::io_context &m_loop;
    Deployment &m_deployment;
    const Balancer &m_balancer;
    const std::string m_key;
    const Clock::time_point m_start = Clock::now();
    std::vector<std::shared_ptr<Exchange>> m_exchanges;
    bool m_stopped = false;
};

/// Waits in a coroutine.
boost::asio::awaitable<void> pause(Milliseconds time);

/// A route, a service or a tenant of a configuration.
boost::json::object resource(const std::string &kind, const std::string &name, boost::json::object spec);
/// A configuration with the limits of a small deployment.
boost::json::object configuration(const std::string &version, std::vector<boost::json::object> resources);

/// Writes what was sent, answered and run.
void writeRecord(std::ofstream &record, const Clients &clients, const std::vector<Run> &runs);
}
