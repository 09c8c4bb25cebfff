#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Stand-ins and process control for the scripts of the review. Uses POSIX only, so that it builds with a compiler alone.
namespace rig
{
/// Time since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

/// The case cannot be shown in this run, for a reason other than the behaviour that is checked. Ends the program with status 2.
struct CannotRun {
    std::string reason;
};

/// Writes record.txt. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    int m_file;
};

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A TCP connection, closed by the destructor.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    { }
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// @p receiveBuffer: size of the receive buffer in bytes; 0 for the system's default.
    static Socket connect(const Address &address, int receiveBuffer = 0);
    bool open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    bool send(std::string_view bytes) const;
    /// Received bytes; empty at the end of the stream, after an error, or when nothing arrives within the time.
    std::string receive(std::size_t limit, std::int64_t timeoutMs);
    /// Why receive() returned nothing: "timeout", "closed" or "reset".
    const std::string &ending() const { return m_ending; }
    void close();

private:
    int m_descriptor;
    std::string m_ending;
};

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    std::string field(const std::string &name) const;
};

/// Answers one request on @p connection. Returns false when the connection is to be closed.
using Handler = std::function<bool(const Request &request, Socket &connection)>;

/// HTTP server with one thread for each connection.
class HttpServer
{
public:
    HttpServer(const std::string &ip, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    const Address &address() const { return m_address; }
    /// Stops listening and resets or closes the open connections.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    Handler m_handler;
    Address m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopped {false};
    std::mutex m_mutex;
    std::map<int, bool> m_open;
    std::atomic<int> m_running {0};
    std::thread m_acceptThread;
};

/// The platform's store: objects by kind and name, as PROTOCOL.md describes it. Loses nothing and answers at once.
class Store
{
public:
    explicit Store(const std::string &ip);
    const Address &address() const { return m_server->address(); }
    /// Writes the spec (JSON text) as the operator or a backend does; returns the time of the acknowledgement.
    std::int64_t put(const std::string &kind, const std::string &name, const std::string &spec);
    std::int64_t remove(const std::string &kind, const std::string &name);
    std::size_t count(const std::string &kind);

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    bool answer(const Request &request, Socket &connection);
    static std::string objectText(const std::string &name, const Object &object);

    std::mutex m_mutex;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::unique_ptr<HttpServer> m_server;
};

/// Content of a stand-in's answer: the same for the same seed and size.
std::string contentOf(std::uint32_t seed, std::size_t bytes);
std::string sealOf(const std::string &id);

/// A backend that processes @p slots requests at the same time and queues four more.
class Backend
{
public:
    /// Writes the answer to a request that is run.
    using Work = std::function<bool(Backend &backend, const Request &request, Socket &connection)>;

    Backend(std::string name, std::string service, const std::string &ip, unsigned slots, Work work, Record &record);
    const std::string &name() const { return m_name; }
    const std::string &service() const { return m_service; }
    const Address &address() const { return m_server->address(); }
    /// The entry of the backend in the store.
    std::string entry(const std::string &zone, const std::string &state = "ready") const;
    /// Calls @p onArrival with each request that this backend runs.
    void watch(std::function<void(const Request &)> onArrival) { m_onArrival = std::move(onArrival); }
    void stop() { m_server->stop(); }

private:
    bool answer(const Request &request, Socket &connection);

    const std::string m_name;
    const std::string m_service;
    const unsigned m_slots;
    Work m_work;
    Record &m_record;
    std::function<void(const Request &)> m_onArrival;
    std::mutex m_mutex;
    std::condition_variable m_free;
    unsigned m_busy = 0;
    unsigned m_waiting = 0;
    std::unique_ptr<HttpServer> m_server;
};

/// Header of an answer that a backend gives to @p request; @p length: none for an answer in chunks.
std::string answerHeader(const Request &request, unsigned status, std::optional<std::size_t> length);
std::string chunkOf(std::string_view bytes);

/// One route of the configuration.
struct RouteSpec {
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    unsigned attempts = 2;
    unsigned timeoutMs = 10'000;
    unsigned latencyMs = 1000;
};

/// A small deployment: the store, daemons as processes, and backends.
class Deployment
{
public:
    Deployment(std::string daemonProgram, Record &record, const std::string &scenario);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Store &store() { return *m_store; }
    std::string ip(unsigned last) const { return m_network + std::to_string(last); }
    /// Writes the configuration; returns the time of the acknowledgement.
    std::int64_t configure(unsigned version, const std::vector<RouteSpec> &routes, const std::vector<std::string> &services);
    Backend &addBackend(const std::string &name, const std::string &service, unsigned slots, Backend::Work work);
    void startDaemons(unsigned count, double linkMbps);
    void awaitReady();
    Address front(unsigned daemon) const { return {ip(10 + daemon), 8782}; }
    bool ready(unsigned daemon) const;
    void signal(unsigned daemon, int number);
    /// True when the process of the daemon has ended.
    bool ended(unsigned daemon);
    /// Signal or status with which the process ended.
    std::string howEnded(unsigned daemon) const;
    /// Starts a daemon whose process has ended again.
    void restart(unsigned daemon);
    const std::vector<std::unique_ptr<Backend>> &backends() const { return m_backends; }
    /// The last lines of the daemon's log that contain @p text.
    std::string log(unsigned daemon, const std::string &text) const;

    static constexpr const char *Host = "deployment.example";
    static constexpr const char *Key = "k3yofthetenant0000001";

private:
    void writeSettings(unsigned daemon, bool bootstrap) const;
    int startProcess(unsigned daemon);

    const std::string m_program;
    Record &m_record;
    std::string m_network;
    std::string m_folder;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Backend>> m_backends;
    std::vector<int> m_processes;
    std::vector<bool> m_endedProcesses;
    std::vector<int> m_statuses;
    double m_linkMbps = 0;
};

/// How a client reads its answer.
struct Reading {
    std::int64_t pauseMs = 0; ///< between two reads
    std::size_t bytes = 65536; ///< of one read
    std::size_t leaveAfter = 0; ///< closes the connection once so many bytes have arrived; 0: never
};

/// What a client saw of one request.
struct Answer {
    unsigned status = 0; ///< 0: no answer
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete = false;
    bool left = false; ///< the client closed the connection
    std::string problem; ///< bytes that are no answer in the protocol
    std::string ending; ///< why the answer is not complete
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
};

std::string requestText(const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs, bool close = false);
/// Reads one answer, until @p untilMs at most.
Answer readAnswer(Socket &connection, std::string &buffer, const Reading &reading, std::int64_t untilMs);
/// Sends one request on a connection of its own and reads the answer.
Answer call(const Address &front, const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs, bool close,
            const Reading &reading = {}, int receiveBuffer = 0);
/// One line on what the client saw.
std::string describe(const std::string &id, const Answer &answer);

/// Result of a scenario.
enum class Verdict : int
{
    Held = 0,
    Broken = 1,
};

struct Context {
    std::string daemonProgram;
    Record &record;
    bool trouble;
};

Verdict stopDuringStream(const Context &context);
Verdict hedgeIntoStream(const Context &context);
Verdict stopSlowReader(const Context &context);
Verdict leaveMidDownload(const Context &context);
Verdict unreadableEntry(const Context &context);
Verdict leavePipelined(const Context &context);
Verdict leaveManyReads(const Context &context);
}
