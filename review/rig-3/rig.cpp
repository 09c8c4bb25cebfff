#include "rig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace
{
constexpr const char *Host = "orders.example";
constexpr unsigned FrontPort = 8782;
constexpr unsigned ReadinessPort = 8789;
constexpr unsigned MetricsPort = 9464;
constexpr unsigned FirstBackendPort = 9500;
constexpr unsigned StoreHost = 1;
constexpr unsigned ProxyHost = 2;
constexpr unsigned BackendHost = 3;
constexpr unsigned FirstDaemonHost = 10;
constexpr Milliseconds EntryInterval(1500);

Endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Reply parseReply(const std::string &text)
{
    const auto end = text.find("\r\n\r\n");
    if (text.size() < 12 || end == std::string::npos) {
        return {};
    }
    return {static_cast<unsigned>(std::stoul(text.substr(9, 3))), text.substr(end + 4)};
}

std::string requestText(const std::string &method, const std::string &path, const std::string &fields, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nConnection: close\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

asio::awaitable<Reply> exchangeOnce(Endpoint to, std::string request)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    error_code error;
    co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    }
    std::string text;
    if (!error) {
        co_await asio::async_read(socket, asio::dynamic_buffer(text), asio::redirect_error(asio::use_awaitable, error));
    }
    co_return parseReply(text);
}

asio::awaitable<Reply> exchangeWithin(Endpoint to, std::string request, Milliseconds time)
{
    const auto first = co_await (exchangeOnce(to, std::move(request)) || pause(time));
    co_return first.index() == 0 ? std::get<0>(first) : Reply {};
}
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

asio::awaitable<void> pause(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

Process::Process(const std::vector<std::string> &arguments, const std::string &variable, const std::string &output)
{
    int ends[2] = {-1, -1};
    if (output.empty() && ::pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    const int written = output.empty() ? ends[1] : ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_output = ends[0];
    std::vector<std::string> copies = arguments;
    std::vector<char *> argv;
    argv.reserve(copies.size() + 1);
    for (auto &copy : copies) {
        argv.push_back(copy.data());
    }
    argv.push_back(nullptr);
    std::string entry = variable;
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(written, STDOUT_FILENO);
        if (!output.empty()) {
            ::dup2(written, STDERR_FILENO);
        }
        if (!entry.empty()) {
            ::putenv(entry.data());
        }
        ::execv(argv.front(), argv.data());
        ::_exit(127);
    }
    ::close(written);
    if (m_pid < 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
}

Process::~Process()
{
    kill();
    if (m_output >= 0) {
        ::close(m_output);
    }
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

Endpoint Process::readyEndpoint(const std::string &name)
{
    while (m_line.find('\n') == std::string::npos) {
        pollfd ready {m_output, POLLIN, 0};
        char bytes[512];
        const auto count = ::poll(&ready, 1, 10'000) == 1 ? ::read(m_output, bytes, sizeof bytes) : 0;
        if (count <= 0) {
            throw std::runtime_error("a stand-in did not start");
        }
        m_line.append(bytes, static_cast<std::size_t>(count));
    }
    const auto begin = m_line.find(" " + name + "=") + name.size() + 2;
    return parseEndpoint(m_line.substr(begin, m_line.find_first_of(" \n", begin) - begin));
}

Reply call(const Endpoint &to, const std::string &method, const std::string &path, const std::string &fields, const std::string &body)
{
    asio::io_context loop;
    Reply reply;
    asio::co_spawn(
        loop, [&]() -> asio::awaitable<void> { reply = co_await exchangeWithin(to, requestText(method, path, fields, body), Milliseconds(5000)); },
        asio::detached);
    loop.run();
    return reply;
}

Deployment::Deployment(std::string programs)
    : m_programs(std::move(programs))
    , m_network("127." + std::to_string(1 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250) + ".")
    , m_folder([] {
        std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(path.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        return path;
    }())
{
    m_store = std::make_unique<Process>(std::vector<std::string> {m_programs + "/standin-objects", "--listen", address(StoreHost).to_string() + ":0"},
                                        std::string(), std::string());
    m_storeAddress = m_store->readyEndpoint("http");
    m_storeControl = m_store->readyEndpoint("control");
}

Deployment::~Deployment()
{
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

asio::ip::address Deployment::address(unsigned host) const
{
    return asio::ip::make_address(m_network + std::to_string(host));
}

bool Deployment::publish(const json::object &configuration)
{
    const std::string body = json::serialize(json::object {{"metadata", {{"name", "main"}}}, {"spec", configuration}});
    const unsigned replaced = call(m_storeControl, "PUT", "/api/objects/config/main", {}, body).status;
    return replaced == 200 || (replaced == 404 && call(m_storeControl, "POST", "/api/objects/config", {}, body).status == 201);
}

std::string Deployment::startBackendProcess(const Backend &backend, const std::vector<std::string> &options)
{
    std::string listen = address(BackendHost).to_string() + ":" + std::to_string(FirstBackendPort + m_backends.size());
    std::vector<std::string> arguments {m_programs + "/standin-target",
                                        "--platform",
                                        "--name",
                                        backend.name,
                                        "--service",
                                        backend.service,
                                        "--slots",
                                        std::to_string(backend.slots),
                                        "--service-time",
                                        std::to_string(backend.workMilliseconds) + "ms",
                                        "--listen",
                                        listen};
    arguments.insert(arguments.end(), options.begin(), options.end());
    m_backendProcesses.push_back(std::make_unique<Process>(arguments, std::string(), std::string()));
    m_backends[backend.name] = {backend, m_backendProcesses.back()->readyEndpoint("control")};
    return listen;
}

void Deployment::startBackend(const Backend &backend)
{
    startBackendProcess(backend, {"--zone", backend.zone, "--register", toString(m_storeAddress)});
}

void Deployment::startBackendWithoutDrain(const Backend &backend)
{
    const std::string listen = startBackendProcess(backend, {});
    const std::string kind = "/api/objects/servers";
    const std::int64_t born = unixMilliseconds();
    m_entryName = backend.name;
    m_entryWriter = std::jthread([this, backend, listen, kind, born](const std::stop_token &stop) {
        for (std::uint64_t sequence = 1; !stop.stop_requested(); ++sequence) {
            const json::object spec {{"service", backend.service}, {"address", listen},   {"zone", backend.zone}, {"version", "1"}, {"slots", backend.slots},
                                     {"state", "ready"},           {"warmup-left-ms", 0}, {"sequence", sequence}, {"born", born}};
            const std::string body = json::serialize(json::object {{"metadata", {{"name", backend.name}}}, {"spec", spec}});
            if (call(m_storeAddress, "PUT", kind + "/" + backend.name, {}, body).status == 404) {
                call(m_storeAddress, "POST", kind, {}, body);
            }
            const auto until = Clock::now() + EntryInterval;
            while (!stop.stop_requested() && Clock::now() < until) {
                ::poll(nullptr, 0, 20);
            }
        }
    });
}

std::int64_t Deployment::removeEntry()
{
    m_entryWriter.request_stop();
    m_entryWriter.join();
    call(m_storeAddress, "DELETE", "/api/objects/servers/" + m_entryName);
    return unixMilliseconds();
}

void Deployment::startProxy()
{
    m_proxy = std::make_unique<Process>(std::vector<std::string> {m_programs + "/standin-proxy", "--listen", address(ProxyHost).to_string() + ":0"},
                                        std::string(), std::string());
    m_proxyControl = m_proxy->readyEndpoint("http");
}

Endpoint Deployment::storeFor(const std::string &daemon)
{
    if (!m_proxy) {
        return m_storeAddress;
    }
    const Reply reply = call(m_proxyControl, "PUT", "/control/links/" + daemon, {}, json::serialize(json::object {{"server", toString(m_storeAddress)}}));
    return parseEndpoint(std::string(json::parse(reply.body).at("listen").as_string()));
}

void Deployment::cutFromStore(const std::string &daemon, bool cut)
{
    call(m_proxyControl, "PUT", "/control/links/" + daemon, {}, json::serialize(json::object {{"cut_to", cut}, {"cut_from", cut}}));
}

std::string Deployment::writeSettings(const std::string &name, const std::string &zone, bool bootstrap)
{
    const std::string ip = address(m_hosts.at(name)).to_string();
    const json::object settings {
        {"node-name", name},
        {"role", "entry"},
        {"machine-class", "edge"},
        {"serves", {"edge"}},
        {"ip", ip},
        {"zone", zone},
        {"region", "greater-accra"},
        {"zones", {{zone, "greater-accra"}}},
        {"listen", {{"front", ip + ":" + std::to_string(FrontPort)}, {"ready", ip + ":" + std::to_string(ReadinessPort)}}},
        {"internal-ports", {7340, 7355}},
        {"seeds", json::array()},
        {"bootstrap", bootstrap},
        {"limits", {{"cpu-share", 0.2}, {"cores", 1}, {"memory-mb", 260}, {"max-fds", 4100}, {"link-mbps", 1000.0}, {"disk-mb", 0}}},
        {"heartbeat-ms", 1500},
        {"bounds",
         {"contact-ms=3000", "drain-ms=2000", "grace-s=6", "config-apply-ms=2000", "strict-revoke=true", "revoke-ms=5000", "budget-ratio=0.2",
          "budget-window-s=10", "budget-slack=56", "quota-window-s=5", "quota-over=0.1", "quota-slack=20"}},
        {"platform", {{"address", toString(storeFor(name))}, {"form", "objects"}, {"writes-per-s", 400}, {"reads-per-s", 2000}, {"history-s", 20}}}};
    std::string file = m_folder + "/" + name + ".json";
    std::ofstream(file) << json::serialize(settings);
    return file;
}

void Deployment::startDaemon(const std::string &name, const std::string &zone, bool bootstrap)
{
    m_hosts.try_emplace(name, FirstDaemonHost + m_hosts.size());
    const std::string file = writeSettings(name, zone, bootstrap);
    m_daemons[name] = std::make_unique<Process>(std::vector<std::string> {m_programs + "/plumsilld", "--platform"}, "PLUMSILL_BOOT=" + file,
                                                m_folder + "/" + name + ".log");
}

std::vector<std::string> Deployment::daemonNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts) {
        names.push_back(name);
    }
    return names;
}

Endpoint Deployment::front(const std::string &daemon) const
{
    return {address(m_hosts.at(daemon)), FrontPort};
}

Endpoint Deployment::readiness(const std::string &daemon) const
{
    return {address(m_hosts.at(daemon)), ReadinessPort};
}

bool Deployment::allReady()
{
    const auto names = daemonNames();
    return std::all_of(names.begin(), names.end(), [this](const auto &name) { return call(readiness(name), "GET", "/api/readiness").status == 200; });
}

bool Deployment::waitUntilReady()
{
    const auto until = Clock::now() + std::chrono::seconds(20);
    while (!allReady()) {
        if (Clock::now() > until) {
            return false;
        }
        ::poll(nullptr, 0, 100);
    }
    ::poll(nullptr, 0, 3000);
    return true;
}

double Deployment::metric(const std::string &daemon, const std::string &name)
{
    const Reply reply = call({address(m_hosts.at(daemon)), MetricsPort}, "GET", "/metrics");
    const auto place = reply.body.find("\n" + name + " ");
    return place == std::string::npos ? -1 : std::strtod(reply.body.c_str() + place + name.size() + 2, nullptr);
}

std::vector<Run> Deployment::runs()
{
    std::vector<Run> runs;
    for (const auto &[name, backend] : m_backends) {
        const auto log = json::parse(call(backend.second, "GET", "/control/log").body);
        for (const auto &entry : log.as_array()) {
            runs.push_back({name, backend.first.service, std::string(entry.at("id").as_string()), std::string(entry.at("path").as_string()),
                            entry.at("started_at").to_number<std::int64_t>()});
        }
    }
    return runs;
}

Balancer::Balancer(asio::io_context &loop, Deployment &deployment)
    : m_deployment(deployment)
{
    for (const auto &name : deployment.daemonNames()) {
        m_misses[name] = 0;
        asio::co_spawn(loop, probe(name), asio::detached);
    }
}

asio::awaitable<void> Balancer::probe(std::string daemon)
{
    while (true) {
        const auto due = Clock::now() + std::chrono::seconds(1);
        const Reply reply = co_await exchangeWithin(m_deployment.readiness(daemon), requestText("GET", "/api/readiness", {}, {}), Milliseconds(900));
        m_misses[daemon] = reply.status == 200 ? 0 : m_misses[daemon] + 1;
        co_await pause(std::max(std::chrono::duration_cast<Milliseconds>(due - Clock::now()), Milliseconds(1)));
    }
}

std::string Balancer::choose(unsigned client) const
{
    std::vector<std::string> all;
    std::vector<std::string> candidates;
    for (const auto &[name, misses] : m_misses) {
        all.push_back(name);
        if (inRotation(name)) {
            candidates.push_back(name);
        }
    }
    if (2 * candidates.size() < all.size()) {
        candidates = all;
    }
    const std::uint32_t hash = (client + 1) * 2654435761U;
    return candidates[(hash >> 16U) % candidates.size()];
}

Clients::Clients(asio::io_context &loop, Deployment &deployment, const Balancer &balancer, std::string key)
    : m_loop(loop)
    , m_deployment(deployment)
    , m_balancer(balancer)
    , m_key(std::move(key))
{ }

double Clients::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

asio::awaitable<void> Clients::send(Traffic traffic, unsigned firstClient)
{
    constexpr unsigned ClientsOfAKind = 100;
    auto due = Clock::now();
    for (unsigned number = 0; !m_stopped; ++number) {
        const auto exchange = std::make_shared<Exchange>();
        exchange->id = "r" + std::to_string(firstClient) + "-" + std::to_string(number);
        exchange->method = traffic.method;
        exchange->path = traffic.path;
        exchange->daemon = m_balancer.choose(firstClient + number % ClientsOfAKind);
        exchange->sentAt = now();
        m_exchanges.push_back(exchange);
        asio::co_spawn(m_loop, this->exchange(exchange, traffic.budgetMilliseconds), asio::detached);
        due += std::chrono::microseconds(1'000'000 / traffic.perSecond);
        asio::steady_timer timer(m_loop, due);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> Clients::exchange(std::shared_ptr<Exchange> exchange, unsigned budgetMilliseconds)
{
    const std::string fields = "Plumsill-Request-Id: " + exchange->id + "\r\nPlumsill-Deadline-Ms: " + std::to_string(budgetMilliseconds)
        + "\r\nAuthorization: Bearer " + m_key + "\r\n";
    const std::string body = exchange->method == "POST" ? "body of " + exchange->id : std::string();
    exchange->reply = co_await exchangeWithin(m_deployment.front(exchange->daemon), requestText(exchange->method, exchange->path, fields, body),
                                              Milliseconds(budgetMilliseconds));
    exchange->endedAt = now();
}

std::size_t Clients::sentTo(const std::string &daemon) const
{
    return static_cast<std::size_t>(
        std::count_if(m_exchanges.begin(), m_exchanges.end(), [&daemon](const auto &exchange) { return exchange->daemon == daemon; }));
}

json::object resource(const std::string &kind, const std::string &name, json::object spec)
{
    return {{"resource-kind", kind}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
}

json::object configuration(const std::string &version, std::vector<json::object> resources)
{
    json::array list(resources.begin(), resources.end());
    list.push_back(
        resource("limits", "limits", {{"max-header-bytes", 8192}, {"max-body-bytes", 1000000}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 30000}}));
    return {{"version", version}, {"resources", std::move(list)}};
}

void writeRecord(std::ofstream &record, const Clients &clients, const std::vector<Run> &runs)
{
    std::map<std::string, std::string> runsOf;
    for (const auto &run : runs) {
        runsOf[run.id] += " run by " + run.backend + " of service " + run.service;
    }
    record << std::fixed << std::setprecision(3);
    for (const auto &exchange : clients.exchanges()) {
        record << exchange->sentAt << " s " << exchange->id << " " << exchange->method << " " << exchange->path << " sent to " << exchange->daemon
               << ", answered " << exchange->reply.status << " at " << exchange->endedAt << " s;" << runsOf[exchange->id] << "\n";
    }
}
}
