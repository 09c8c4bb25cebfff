#include "rig.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{
namespace
{
using SteadyClock = std::chrono::steady_clock;

SteadyClock::time_point startOfProgram()
{
    static const auto start = SteadyClock::now();
    return start;
}

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

const sockaddr *generic(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::map<std::string, std::string> parseFields(const std::string &header)
{
    std::map<std::string, std::string> fields;
    auto start = header.find("\r\n");
    while (start != std::string::npos) {
        const auto end = header.find("\r\n", start + 2);
        const std::string line = header.substr(start + 2, end == std::string::npos ? end : end - start - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            fields[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        start = end;
    }
    return fields;
}

std::optional<std::uint64_t> parseNumber(const std::string &text, int base)
{
    if (text.empty() || text.find_first_not_of(base == 16 ? "0123456789abcdefABCDEF" : "0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::strtoull(text.c_str(), nullptr, base);
}

// Position behind the JSON value that begins at @p at.
std::size_t skipValue(const std::string &text, std::size_t at)
{
    int depth = 0;
    bool quoted = false;
    for (; at < text.size(); ++at) {
        const char c = text[at];
        if (quoted) {
            at += c == '\\' ? 1 : 0;
            quoted = c != '"';
        } else if (c == '"') {
            quoted = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        } else if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
            return at;
        }
    }
    return at;
}

// The JSON text of a member of the object, or nothing.
std::string memberOf(const std::string &object, const std::string &name)
{
    std::size_t at = object.find('{');
    while (at != std::string::npos && at + 1 < object.size()) {
        const auto keyStart = object.find('"', at + 1);
        const auto keyEnd = keyStart == std::string::npos ? keyStart : object.find('"', keyStart + 1);
        const auto colon = keyEnd == std::string::npos ? keyEnd : object.find(':', keyEnd);
        if (colon == std::string::npos) {
            return {};
        }
        const auto end = skipValue(object, colon + 1);
        if (object.substr(keyStart + 1, keyEnd - keyStart - 1) == name) {
            return trimmed(object.substr(colon + 1, end - colon - 1));
        }
        at = end < object.size() && object[end] == ',' ? end : std::string::npos;
    }
    return {};
}

std::string unquoted(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

std::string answerText(unsigned status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::int64_t IdleMs = 30'000;
constexpr unsigned QueuedBeyondSlots = 4;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - startOfProgram()).count();
}

void sleepMs(std::int64_t milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
}

Record::Record(const std::string &path)
    : m_file(::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{ }

Record::~Record()
{
    ::close(m_file);
}

void Record::line(const std::string &text)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f  ", static_cast<double>(nowMs()) / 1000);
    const std::string whole = time.data() + text + "\n";
    const std::lock_guard lock(m_mutex);
    if (::write(m_file, whole.data(), whole.size()) < 0) {
        std::perror("record.txt");
    }
}

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_ending(std::move(other.m_ending))
{ }

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_ending = std::move(other.m_ending);
    }
    return *this;
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

Socket Socket::connect(const Address &address, int receiveBuffer)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receiveBuffer > 0) {
        ::setsockopt(socket.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in peer = toSockaddr(address);
    if (::connect(socket.m_descriptor, generic(peer), sizeof(peer)) != 0) {
        socket.close();
        return socket;
    }
    const int on = 1;
    ::setsockopt(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

bool Socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string Socket::receive(std::size_t limit, std::int64_t timeoutMs)
{
    pollfd waiting {m_descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(timeoutMs, 0))) <= 0) {
        m_ending = "timeout";
        return {};
    }
    std::string bytes(limit, '\0');
    const auto count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        m_ending = count == 0 ? "closed" : "reset";
        return {};
    }
    bytes.resize(static_cast<std::size_t>(count));
    return bytes;
}

std::string Request::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

HttpServer::HttpServer(const std::string &ip, Handler handler)
    : m_handler(std::move(handler))
    , m_address {ip, 0}
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in bound = toSockaddr(m_address);
    if (::bind(m_listener, generic(bound), sizeof(bound)) != 0 || ::listen(m_listener, 256) != 0) {
        throw CannotRun {"cannot listen on " + ip};
    }
    socklen_t size = sizeof(bound);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
    m_address.port = ntohs(bound.sin_port);
    m_acceptThread = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    stop();
    while (m_running > 0) {
        sleepMs(5);
    }
}

void HttpServer::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, open] : m_open) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void HttpServer::accept()
{
    while (!m_stopped) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(m_mutex);
            m_open[descriptor] = true;
        }
        ++m_running;
        std::thread([this, descriptor] {
            serve(descriptor);
            --m_running;
        }).detach();
    }
}

void HttpServer::serve(int descriptor)
{
    Socket connection(descriptor);
    std::string buffer;
    bool keep = true;
    while (keep && !m_stopped) {
        auto end = buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            const std::string bytes = connection.receive(65536, IdleMs);
            if (bytes.empty()) {
                break;
            }
            buffer += bytes;
            end = buffer.find("\r\n\r\n");
        }
        if (end == std::string::npos) {
            break;
        }
        const std::string header = buffer.substr(0, end + 2);
        Request request;
        const auto space = header.find(' ');
        request.method = header.substr(0, space);
        request.target = header.substr(space + 1, header.find(' ', space + 1) - space - 1);
        request.fields = parseFields(header);
        const auto length = parseNumber(request.field("content-length"), 10).value_or(0);
        buffer.erase(0, end + 4);
        while (buffer.size() < length) {
            const std::string bytes = connection.receive(65536, IdleMs);
            if (bytes.empty()) {
                break;
            }
            buffer += bytes;
        }
        if (buffer.size() < length) {
            break;
        }
        request.body = buffer.substr(0, length);
        buffer.erase(0, length);
        keep = m_handler(request, connection);
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(descriptor);
    connection.close();
}

Store::Store(const std::string &ip)
    : m_server(std::make_unique<HttpServer>(ip, [this](const Request &request, Socket &connection) { return answer(request, connection); }))
{ }

std::int64_t Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    Object &object = m_objects[kind][name];
    if (object.spec != spec) {
        ++m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        object.revision = m_revision;
        object.spec = spec;
    }
    return nowMs();
}

std::int64_t Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_revision += m_objects[kind].erase(name);
    return nowMs();
}

std::size_t Store::count(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    return m_objects[kind].size();
}

std::string Store::objectText(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(,"created-rev":)" + std::to_string(object.created)
        + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":{}})";
}

bool Store::answer(const Request &request, Socket &connection)
{
    static const std::string prefix = "/api/objects/";
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (!path.starts_with(prefix)) {
        return connection.send(answerText(404, "{}"));
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        auto &objects = m_objects[kind];
        if (request.method == "GET" && name.empty()) {
            std::string items;
            for (const auto &[key, object] : objects) {
                items += (items.empty() ? "" : ",") + objectText(key, object);
            }
            text = answerText(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":)" + std::to_string(m_revision) + "}");
        } else if (request.method == "GET" || request.method == "DELETE") {
            const auto found = objects.find(name);
            text = found == objects.end() ? answerText(404, "{}") : answerText(200, objectText(name, found->second));
            if (request.method == "DELETE" && found != objects.end()) {
                objects.erase(found);
                ++m_revision;
            }
        } else {
            const bool create = request.method == "POST";
            name = create ? unquoted(memberOf(memberOf(request.body, "metadata"), "name")) : name;
            const bool exists = objects.contains(name);
            if (create == exists) {
                text = answerText(create ? 409 : 404, exists ? objectText(name, objects[name]) : "{}");
            } else {
                Object &object = objects[name];
                const std::string spec = memberOf(request.body, "spec");
                m_revision += object.spec == spec ? 0 : 1;
                object.revision = object.spec == spec ? object.revision : m_revision;
                object.created = create ? m_revision : object.created;
                object.spec = spec;
                text = answerText(create ? 201 : 200, objectText(name, object));
            }
        }
    }
    return connection.send(text);
}

std::string contentOf(std::uint32_t seed, std::size_t bytes)
{
    std::string text;
    text.reserve(bytes + 64);
    for (std::uint32_t line = 0; text.size() < bytes; ++line) {
        text += "document " + std::to_string(seed) + " line " + std::to_string(line) + "\n";
    }
    text.resize(bytes);
    return text;
}

std::string sealOf(const std::string &id)
{
    return "seal-of-" + id;
}

Backend::Backend(std::string name, std::string service, const std::string &ip, unsigned slots, Work work, Record &record)
    : m_name(std::move(name))
    , m_service(std::move(service))
    , m_slots(slots)
    , m_work(std::move(work))
    , m_record(record)
    , m_server(std::make_unique<HttpServer>(ip, [this](const Request &request, Socket &connection) { return answer(request, connection); }))
{ }

std::string Backend::entry(const std::string &zone, const std::string &state) const
{
    return R"({"service":")" + m_service + R"(","address":")" + address().text() + R"(","zone":")" + zone + R"(","version":"1","slots":)"
        + std::to_string(m_slots) + R"(,"state":")" + state + R"(","warmup-left-ms":0,"sequence":1,"born":1764900000000})";
}

std::string answerHeader(const Request &request, unsigned status, std::optional<std::size_t> length)
{
    const std::string id = request.field("plumsill-request-id");
    return "HTTP/1.1 " + std::to_string(status) + " -\r\nPlumsill-Request-Id: " + id + "\r\nPlumsill-Response-Seal: " + sealOf(id) + "\r\n"
        + (length ? "Content-Length: " + std::to_string(*length) : std::string("Transfer-Encoding: chunked")) + "\r\n\r\n";
}

std::string chunkOf(std::string_view bytes)
{
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + std::string(bytes) + "\r\n";
}

bool Backend::answer(const Request &request, Socket &connection)
{
    const std::string expected = request.field("plumsill-target-instance");
    if (!expected.empty() && expected != m_name) {
        return connection.send("HTTP/1.1 421 Misdirected Request\r\nPlumsill-Instance-Id: " + m_name + "\r\nContent-Length: 0\r\n\r\n");
    }
    {
        std::unique_lock lock(m_mutex);
        if (m_busy >= m_slots && m_waiting >= QueuedBeyondSlots) {
            return connection.send("HTTP/1.1 503 Service Unavailable\r\nPlumsill-Not-Executed: 1\r\nPlumsill-Request-Id: "
                                   + request.field("plumsill-request-id") + "\r\nContent-Length: 0\r\n\r\n");
        }
        ++m_waiting;
        m_free.wait(lock, [this] { return m_busy < m_slots; });
        --m_waiting;
        ++m_busy;
    }
    if (request.target != "/health") {
        m_record.line("run " + request.field("plumsill-request-id") + " at " + m_name);
        if (m_onArrival) {
            m_onArrival(request);
        }
    }
    const bool kept = request.target == "/health" ? connection.send("HTTP/1.1 200 OK\r\nPlumsill-Instance-Id: " + m_name + "\r\nContent-Length: 0\r\n\r\n")
                                                  : m_work(*this, request, connection);
    const std::lock_guard lock(m_mutex);
    --m_busy;
    m_free.notify_one();
    return kept;
}

Deployment::Deployment(std::string daemonProgram, Record &record, const std::string &scenario)
    : m_program(std::move(daemonProgram))
    , m_record(record)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("plumsill-review-" + scenario + "-XXXXXX")).string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw CannotRun {"cannot create a temporary folder"};
    }
    m_folder = folder;
    // A network of loopback addresses that no other run on the machine uses.
    const auto own = static_cast<unsigned>(::getpid());
    for (unsigned step = 0; m_network.empty() && step < 50; ++step) {
        const unsigned number = own + 7919 * step;
        const std::string network = "127." + std::to_string(50 + number % 150) + "." + std::to_string(number / 150 % 250) + ".";
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in front = toSockaddr({network + "10", 8782});
        m_network = ::bind(probe, generic(front), sizeof(front)) == 0 ? network : std::string();
        ::close(probe);
    }
    if (m_network.empty()) {
        throw CannotRun {"no free loopback addresses"};
    }
    m_store = std::make_unique<Store>(ip(1));
}

Deployment::~Deployment()
{
    for (unsigned daemon = 0; daemon < m_processes.size(); ++daemon) {
        if (!ended(daemon)) {
            ::kill(m_processes[daemon], SIGKILL);
            ::waitpid(m_processes[daemon], nullptr, 0);
        }
    }
    for (const auto &backend : m_backends) {
        backend->stop();
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::int64_t Deployment::configure(unsigned version, const std::vector<RouteSpec> &routes, const std::vector<std::string> &services)
{
    std::array<char, 16> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x", version);
    std::string resources;
    for (const auto &route : routes) {
        resources += R"({"resource-kind":"routes","metadata":{"name":")" + route.name + R"("},"spec":{"host":")" + Host + R"(","path-prefix":")" + route.prefix
            + R"(","service":")" + route.service + R"(","kind":")" + route.kind + R"(","attempts":)" + std::to_string(route.attempts) + R"(,"timeout-ms":)"
            + std::to_string(route.timeoutMs) + R"(,"target-latency-ms":)" + std::to_string(route.latencyMs) + R"(,"priority":1}},)";
    }
    for (const auto &service : services) {
        resources += R"({"resource-kind":"services","metadata":{"name":")" + service + R"("},"spec":{"max-connections":390,"health-path":"/health"}},)";
    }
    resources += std::string(R"({"resource-kind":"tenants","metadata":{"name":"tenant-1"},"spec":{"api-keys":[")") + Key + R"("],"rate-per-s":0,"burst":0}},)";
    resources += R"({"resource-kind":"limits","metadata":{"name":"limits"},"spec":{"max-header-bytes":8192,"max-body-bytes":1000000,)"
                 R"("header-timeout-ms":5000,"idle-timeout-ms":20000}})";
    return m_store->put("config", "main", std::string(R"({"version":")") + digits.data() + R"(","resources":[)" + resources + "]}");
}

Backend &Deployment::addBackend(const std::string &name, const std::string &service, unsigned slots, Backend::Work work)
{
    m_backends.push_back(std::make_unique<Backend>(name, service, ip(3), slots, std::move(work), m_record));
    m_store->put("servers", name, m_backends.back()->entry("z1"));
    return *m_backends.back();
}

void Deployment::writeSettings(unsigned daemon, bool bootstrap) const
{
    const std::string own = ip(10 + daemon);
    std::ofstream(m_folder + "/node" + std::to_string(daemon) + ".json")
        << R"({"node-name":"edge-)" << daemon << R"(","role":"entry","machine-class":"edge","serves":["edge"],"ip":")" << own
        << R"(","zone":"z1","region":"r1","zones":{"z1":"r1"},"listen":{"front":")" << own << R"(:8782","ready":")" << own << R"(:8789","control":")" << own
        << R"(:8783"},"internal-ports":[7340,7355],"seeds":[],"bootstrap":)" << (bootstrap ? "true" : "false") << R"(,"counts-in-tolerance":false,)"
        << R"("limits":{"cpu-share":0.5,"cores":1,"memory-mb":400,"max-fds":4100,"link-mbps":)" << m_linkMbps << R"(,"disk-mb":0},"data-dir":null,)"
        << R"("discovery":"platform","entry":"vip","heartbeat-ms":1500,)"
        << R"("contracts":["base","drain","config","cost","retry","recover","health","tenants","quota","platform"],)"
        << R"("fault-tolerance":{"machines":1,"zones":0,"regions":0},)"
        << R"("bounds":["contact-ms=3000","ack-ms=4000","drain-ms=2000","grace-s=6","loss-slack-ms=200","config-apply-ms=2000","strict-revoke=true",)"
        << R"("revoke-ms=5000","budget-ratio=0.2","budget-window-s=10","budget-slack=64","quota-window-s=5","recovery-s=15","floor-share=0.7"],)"
        << R"("platform":{"address":")" << m_store->address().text()
        << R"(","form":"objects","writes-per-s":400,"reads-per-s":2000,"history-s":20,"value-bytes":1048576}})";
}

int Deployment::startProcess(unsigned daemon)
{
    const std::string settings = "PLUMSILL_BOOT=" + m_folder + "/node" + std::to_string(daemon) + ".json";
    const std::string log = m_folder + "/node" + std::to_string(daemon) + ".log";
    const std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "/usr/bin:/bin" : std::getenv("PATH"));
    const int parent = ::getpid();
    const int process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(127);
        }
        const int file = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        const std::array<const char *, 3> arguments {m_program.c_str(), "--platform", nullptr};
        const std::array<const char *, 3> environment {settings.c_str(), path.c_str(), nullptr};
        ::execve(m_program.c_str(), const_cast<char *const *>(arguments.data()), const_cast<char *const *>(environment.data()));
        ::_exit(127);
    }
    m_record.line("started daemon edge-" + std::to_string(daemon) + ", process " + std::to_string(process));
    return process;
}

void Deployment::startDaemons(unsigned count, double linkMbps)
{
    m_linkMbps = linkMbps;
    for (unsigned daemon = 0; daemon < count; ++daemon) {
        writeSettings(daemon, true);
        m_processes.push_back(startProcess(daemon));
        m_endedProcesses.push_back(false);
        m_statuses.push_back(0);
    }
}

void Deployment::restart(unsigned daemon)
{
    writeSettings(daemon, false);
    m_processes[daemon] = startProcess(daemon);
    m_endedProcesses[daemon] = false;
}

bool Deployment::ready(unsigned daemon) const
{
    Socket socket = Socket::connect({ip(10 + daemon), 8789});
    if (!socket.open() || !socket.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    return socket.receive(4096, 1000).starts_with("HTTP/1.1 200");
}

void Deployment::awaitReady()
{
    const std::int64_t until = nowMs() + 15'000;
    for (unsigned daemon = 0; daemon < m_processes.size(); ++daemon) {
        while (!ready(daemon)) {
            if (nowMs() > until || ended(daemon)) {
                throw CannotRun {"daemon edge-" + std::to_string(daemon) + " did not get ready"};
            }
            sleepMs(50);
        }
    }
    sleepMs(3000); // traffic starts some seconds after the machines do, and contact-ms has passed
    m_record.line("all daemons are ready");
}

void Deployment::signal(unsigned daemon, int number)
{
    ::kill(m_processes[daemon], number);
    m_record.line("sent signal " + std::to_string(number) + " to daemon edge-" + std::to_string(daemon));
}

bool Deployment::ended(unsigned daemon)
{
    if (!m_endedProcesses[daemon]) {
        m_endedProcesses[daemon] = ::waitpid(m_processes[daemon], &m_statuses[daemon], WNOHANG) == m_processes[daemon];
    }
    return m_endedProcesses[daemon];
}

std::string Deployment::howEnded(unsigned daemon) const
{
    const int status = m_statuses[daemon];
    return WIFSIGNALED(status) ? std::string("signal ") + ::strsignal(WTERMSIG(status)) : "status " + std::to_string(WEXITSTATUS(status));
}

std::string Deployment::log(unsigned daemon, const std::string &text) const
{
    std::ifstream file(m_folder + "/node" + std::to_string(daemon) + ".log");
    std::string found;
    for (std::string line; std::getline(file, line);) {
        if (line.find(text) != std::string::npos) {
            found += line + "\n";
        }
    }
    return found;
}

std::string requestText(const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs, bool close)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + Deployment::Host + "\r\nPlumsill-Request-Id: " + id + "\r\nPlumsill-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + Deployment::Key + "\r\n" + (close ? "Connection: close\r\n" : "") + "\r\n";
}

namespace
{
/// Reads the bytes of one answer at the pace of the client.
class AnswerReader
{
public:
    AnswerReader(Socket &connection, std::string &buffer, const Reading &reading, std::int64_t untilMs)
        : m_connection(connection)
        , m_buffer(buffer)
        , m_reading(reading)
        , m_untilMs(untilMs)
    { }

    Answer read()
    {
        const auto header = take("\r\n\r\n");
        if (!header) {
            return finish();
        }
        const auto status = header->starts_with("HTTP/1.1 ") && header->size() >= 12 ? parseNumber(header->substr(9, 3), 10) : std::nullopt;
        if (!status) {
            m_answer.problem = "no status line: " + header->substr(0, 60);
            return finish();
        }
        m_answer.status = static_cast<unsigned>(*status);
        m_answer.fields = parseFields(*header + "\r\n");
        if (m_answer.fields["transfer-encoding"] == "chunked") {
            readChunks();
        } else {
            const auto length = parseNumber(m_answer.fields["content-length"], 10);
            m_answer.complete = length && takeBytes(*length);
        }
        return finish();
    }

private:
    bool more()
    {
        if (m_reading.leaveAfter > 0 && m_received >= m_reading.leaveAfter) {
            m_connection.close();
            m_answer.left = true;
            return false;
        }
        sleepMs(m_received > 0 ? m_reading.pauseMs : 0);
        const std::string bytes = m_connection.receive(m_reading.bytes, m_untilMs - nowMs());
        m_received += bytes.size();
        m_buffer += bytes;
        return !bytes.empty();
    }
    std::optional<std::string> take(const std::string &end)
    {
        auto found = m_buffer.find(end);
        while (found == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
            found = m_buffer.find(end);
        }
        std::string text = m_buffer.substr(0, found);
        m_buffer.erase(0, found + end.size());
        return text;
    }
    bool takeBytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            if (!more()) {
                m_answer.body += m_buffer;
                return false;
            }
        }
        m_answer.body += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }
    void readChunks()
    {
        while (true) {
            const auto line = take("\r\n");
            if (!line) {
                return;
            }
            const auto size = parseNumber(*line, 16);
            if (!size) {
                m_answer.problem = "no chunk size: " + line->substr(0, 60);
                return;
            }
            if (!takeBytes(*size)) {
                return;
            }
            const auto end = take("\r\n");
            if (end && !end->empty()) {
                m_answer.problem = "no end of a chunk: " + end->substr(0, 60);
                return;
            }
            if (!end || *size == 0) {
                m_answer.complete = end.has_value();
                return;
            }
        }
    }
    Answer finish()
    {
        m_answer.ending = m_answer.complete ? "complete" : m_answer.left ? "left" : !m_answer.problem.empty() ? "malformed" : m_connection.ending();
        m_answer.endedAt = nowMs();
        return std::move(m_answer);
    }

    Socket &m_connection;
    std::string &m_buffer;
    const Reading m_reading;
    const std::int64_t m_untilMs;
    std::size_t m_received = 0;
    Answer m_answer;
};
}

Answer readAnswer(Socket &connection, std::string &buffer, const Reading &reading, std::int64_t untilMs)
{
    return AnswerReader(connection, buffer, reading, untilMs).read();
}

std::string describe(const std::string &id, const Answer &answer)
{
    std::string text = "answer " + id + ": status " + std::to_string(answer.status) + ", " + answer.ending + ", body " + std::to_string(answer.body.size())
        + " bytes, took " + std::to_string(answer.endedAt - answer.sentAt) + " ms";
    return answer.problem.empty() ? text : text + ", " + answer.problem;
}

Answer call(const Address &front, const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs, bool close,
            const Reading &reading, int receiveBuffer)
{
    Socket connection = Socket::connect(front, receiveBuffer);
    const std::int64_t sentAt = nowMs();
    if (!connection.open() || !connection.send(requestText(method, target, id, deadlineMs, close))) {
        Answer none;
        none.ending = "no connection";
        none.sentAt = sentAt;
        none.endedAt = nowMs();
        return none;
    }
    std::string buffer;
    Answer answer = readAnswer(connection, buffer, reading, sentAt + deadlineMs);
    answer.sentAt = sentAt;
    return answer;
}
}
