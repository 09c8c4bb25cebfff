#include <plumsill/document.h>
#include <plumsill/environment.h>
#include <plumsill/keys.h>
#include <plumsill/routing.h>

#include <plumsill/config.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <random>
#include <string>

/// Measures how the costs of the document grow with its size, for the capacity page.
namespace
{
using namespace plumsill;

struct Size {
    unsigned routes = 0;
    unsigned teams = 0;
    unsigned services = 0;
};

constexpr std::size_t Lookups = 200'000;

std::string keyOf(unsigned team)
{
    return "bench-key-" + std::to_string(team);
}

Document makeDocument(const Size &size)
{
    Document document;
    for (unsigned i = 0; i < size.services; ++i) {
        document.services.emplace_back().name = {"service-" + std::to_string(i)};
    }
    for (unsigned i = 0; i < size.teams; ++i) {
        document.teams.push_back({{"team-" + std::to_string(i)}, 10, 20, {sha256Hex(keyOf(i))}});
    }
    for (unsigned i = 0; i < size.routes; ++i) {
        auto &route = document.routes.emplace_back();
        route.name = {"route-" + std::to_string(i)};
        route.host = "host-" + std::to_string(i % 1000) + ".example";
        route.prefix = "/api/v1/part-" + std::to_string(i);
        route.methods = {"GET"};
        route.service = {"service-" + std::to_string(i % size.services)};
        route.teams = {{"team-" + std::to_string(i % size.teams)}};
    }
    return document;
}

double residentMegabytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * 4096 / 1e6;
}

double peakMegabytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    double kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> kilobytes;
        }
    }
    return kilobytes / 1000;
}

template<class Work>
double secondsOf(Work work)
{
    const auto start = RuntimeClock::now();
    work();
    return seconds(RuntimeClock::now() - start);
}

void print(const std::string &name, double value, const char *unit)
{
    std::printf("document_%s %.6g %s\n", name.c_str(), value, unit);
}

void benchRoutes(const std::string &label, const RouteTable &routes, unsigned count, std::mt19937 &random)
{
    std::vector<std::pair<std::string, std::string>> requests(Lookups);
    for (auto &request : requests) {
        const auto i = random() % count;
        request = {"host-" + std::to_string(i % 1000) + ".example", "/api/v1/part-" + std::to_string(i) + "/item/7?x=1"};
    }
    std::size_t found = 0;
    const double time = secondsOf([&] {
        for (const auto &[host, target] : requests) {
            found += std::holds_alternative<RouteFound>(routes.find(host, target, "GET")) ? 1 : 0;
        }
    });
    print(label + "_route_lookup", time / Lookups * 1e9, "ns");
    print(label + "_route_lookups_missed", static_cast<double>(Lookups - found), "requests");
}

void benchKeys(const std::string &label, const KeyTable &keys, unsigned count, std::mt19937 &random)
{
    std::vector<std::string> requestKeys(Lookups);
    for (auto &key : requestKeys) {
        key = keyOf(random() % count);
    }
    std::size_t found = 0;
    const double time = secondsOf([&] {
        for (const auto &key : requestKeys) {
            found += keys.find(key) != nullptr ? 1 : 0;
        }
    });
    print(label + "_key_lookup", time / Lookups * 1e9, "ns");
    print(label + "_key_lookups_missed", static_cast<double>(Lookups - found), "requests");
    const std::string header = "Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko) Chrome/120.0.0.0 Safari/537.36";
    std::size_t keysSeen = 0;
    const double scan = secondsOf([&] {
        for (std::size_t i = 0; i < Lookups; ++i) {
            keysSeen += keys.containsKnownKey(header) ? 1 : 0;
        }
    });
    print(label + "_key_scan_of_a_104_byte_header", scan / Lookups * 1e9 + static_cast<double>(keysSeen), "ns");
}

void bench(const std::string &label, const Size &size, std::mt19937 &random)
{
    const auto text = canonicalText(makeDocument(size));
    print(label + "_text", static_cast<double>(text.size()) / 1e6, "MB");
    const auto before = residentMegabytes();
    ParsedDocument parsed;
    print(label + "_parse_and_check", secondsOf([&] { parsed = parseDocument(text, "bench"); }), "s");
    print(label + "_problems", static_cast<double>(parsed.problems.size()), "problems");
    const auto document = std::make_shared<const Document>(std::move(parsed.document));
    std::unique_ptr<RouteTable> routes;
    std::unique_ptr<KeyTable> keys;
    print(label + "_index", secondsOf([&] {
              routes = std::make_unique<RouteTable>(document);
              keys = std::make_unique<KeyTable>(*document);
          }),
          "s");
    print(label + "_memory_held", residentMegabytes() - before, "MB");
    print(label + "_memory_peak", peakMegabytes(), "MB");
    std::vector<std::string> chunks;
    print(label + "_split", secondsOf([&] { chunks = splitText(text, config::MaxChunkBytes); }), "s");
    print(label + "_chunks", static_cast<double>(chunks.size()), "objects");
    print(label + "_digest", secondsOf([&] { sha256Hex(text); }), "s");
    benchRoutes(label, *routes, size.routes, random);
    benchKeys(label, *keys, size.teams, random);
}
}

int main(int argc, char **argv)
{
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::stoul(argv[1])) : 1;
    std::printf("seed %u\n", seed);
    std::mt19937 random(seed);
    bench("today", {20, 8, 3}, random);
    bench("hundredth", {1800, 4200, 77}, random);
    bench("tenth", {18'000, 42'000, 770}, random);
    bench("two_years", {180'000, 420'000, 7700}, random);
    return 0;
}
