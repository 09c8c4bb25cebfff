#include <plumsill/codec.h>
#include <plumsill/config.h>

#include "fleet_oracle.h"

#include <ctime>
#include <iostream>

// Measures the cost of membership against the number of members, and the time until members agree, in simulated time.
using namespace plumsill;
using namespace plumsill::fake;

namespace
{
constexpr std::uint64_t Seed = 1;
constexpr std::size_t HeaderBytes = 28; // headers of IP and UDP
const std::string secret = "bench";

void print(const std::string &name, double value, const char *unit)
{
    std::cout << name << " " << value << " " << unit << "\n";
}

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::unique_ptr<Fleet> settledFleet(std::size_t size, std::uint64_t seed)
{
    auto fleet = std::make_unique<Fleet>(size, seed);
    for (std::size_t index = 0; index < size; ++index) {
        fleet->start(index);
    }
    fleet->settle(60s);
    return fleet;
}

/// Measures the work of one daemon per second: its datagrams in both directions pass through state machine and codec.
void measureCost(std::size_t size)
{
    auto fleet = settledFleet(size, Seed);
    fleet->run(40s);
    std::vector<std::pair<Endpoint, Envelope>> sent;
    fleet->filter = [&sent](const Endpoint &to, const Envelope &envelope) {
        sent.emplace_back(to, envelope);
        return true;
    };
    const Duration span = 10s;
    fleet->store.reads = 0;
    fleet->run(span);
    std::size_t bytes = 0;
    const Endpoint subject = fleet->nodes[0].self.peer;
    std::vector<std::string> incoming;
    std::vector<Envelope> outgoing;
    for (const auto &[to, envelope] : sent) {
        if (to == subject) {
            incoming.push_back(encode(envelope, secret));
            bytes += incoming.back().size() + HeaderBytes;
        } else if (envelope.sender == fleet->nodes[0].self.id) {
            outgoing.push_back(envelope);
            bytes += encode(envelope, secret).size() + HeaderBytes;
        }
    }
    Membership &membership = *fleet->nodes[0].membership;
    const TimePoint now = fleet->local(fleet->nodes[0]);
    const double begin = processorSeconds();
    for (const auto &datagram : incoming) {
        membership.receive(decode(datagram, secret).assume_value(), now);
    }
    std::size_t encoded = 0;
    for (const auto &envelope : outgoing) {
        encoded += encode(envelope, secret).size();
    }
    for (int tick = 0; tick < 100; ++tick) {
        membership.tick(now);
    }
    const double used = processorSeconds() - begin;
    const std::string suffix = "_" + std::to_string(size) + "_members";
    print("membership_cpu" + suffix, 100 * used / seconds(span), "%_of_a_core");
    print("membership_traffic" + suffix, static_cast<double>(bytes) / seconds(span), "bytes/s_in_and_out_with_headers");
    print("membership_datagrams" + suffix, static_cast<double>(incoming.size() + outgoing.size()) / seconds(span), "datagrams/s_in_and_out");
    print("membership_datagram" + suffix, static_cast<double>(encoded) / static_cast<double>(outgoing.size()), "bytes_mean");
    print("store_reads" + suffix, static_cast<double>(fleet->store.reads) / seconds(span), "reads/s_of_the_cell");
    print("roster_text" + suffix, static_cast<double>(toJson(membership.roster()).size()), "bytes");
}

void measureStart()
{
    for (const std::size_t size : {4U, 16U, 48U}) {
        Duration worst = Duration::zero();
        std::uint64_t epochs = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Fleet fleet(size, seed);
            for (std::size_t index = 0; index < size; ++index) {
                fleet.start(index);
            }
            worst = std::max(worst, fleet.settle(60s).value_or(60s));
            epochs = std::max(epochs, fleet.nodes[0].membership->epoch());
        }
        const std::string suffix = "_" + std::to_string(size) + "_daemons";
        print("start_until_all_confirmed_and_acting" + suffix, seconds(worst), "s_worst_of_10_seeds");
        print("epochs_to_start" + suffix, static_cast<double>(epochs), "epochs_worst_of_10_seeds");
    }
}

void printTimes(const std::string &name, std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    print(name + "_median", times[times.size() / 2], "s");
    print(name + "_worst", times.back(), "s_worst_of_10_seeds");
}

bool allHaveOwner(const Fleet &fleet, std::size_t kind)
{
    return std::all_of(fleet.keys.begin(), fleet.keys.end(),
                       [&fleet, kind](const OwnedKey &key) { return key.index() != kind || fleet.actingFor(key).has_value(); });
}

/// Measures the time from the crash of an owner until other members act for all keys that it owned.
void measureCrash()
{
    for (const std::size_t kind : {0U, 1U}) {
        std::vector<double> times;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            auto fleet = settledFleet(32, seed);
            fleet->run(20s);
            const TimePoint begin = fleet->now;
            fleet->crash(fleet->actingFor(fleet->keys[kind]).value_or(0));
            while (!allHaveOwner(*fleet, kind) && fleet->now - begin < 60s) {
                fleet->run(50ms);
            }
            times.push_back(seconds(fleet->now - begin));
        }
        printTimes(kind == 0 ? "owner_crash_until_parts_act" : "owner_crash_until_verdicts_act", times);
    }
}

/// Measures the time from the planned stop of an owner until another member acts for its part, and the time without an owner
/// in between. Tokens are granted throughout.
void measureLeave()
{
    std::vector<double> times;
    std::vector<double> gaps;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto fleet = settledFleet(32, seed);
        fleet->run(20s);
        const OwnedKey key = fleet->keys[0];
        const auto owner = fleet->actingFor(key).value_or(0);
        const TimePoint begin = fleet->now;
        Duration gap = Duration::zero();
        fleet->leave(owner);
        while (fleet->actingFor(key).value_or(owner) == owner && fleet->now - begin < 60s) {
            fleet->run(10ms);
            gap += fleet->actingFor(key) ? Duration::zero() : Duration(10ms);
        }
        times.push_back(seconds(fleet->now - begin));
        gaps.push_back(seconds(gap));
    }
    printTimes("planned_stop_until_parts_moved", times);
    printTimes("planned_stop_gap_without_owner", gaps);
}

void measureLookup()
{
    std::vector<Member> members;
    for (int number = 0; number < 48; ++number) {
        Member member;
        member.id = {InstanceName {"n" + std::to_string(number)}, 1};
        member.zone.value = "z" + std::to_string(number % 3);
        members.push_back(member);
    }
    const OwnerTable table(members);
    constexpr std::uint32_t Teams = 420'000;
    std::size_t own = 0;
    std::vector<PartKey> keys;
    keys.reserve(Teams);
    for (std::uint32_t number = 0; number < Teams; ++number) {
        keys.push_back({TeamName {"team" + std::to_string(number)}, 0});
    }
    const double begin = processorSeconds();
    for (auto &key : keys) {
        for (key.part = 0; key.part < config::TeamParts; ++key.part) {
            own += static_cast<std::size_t>(table.ownerOf(key)->id == members[0].id);
        }
    }
    const double used = processorSeconds() - begin;
    print("owner_lookup_48_members", 1e9 * used / (Teams * config::TeamParts), "ns");
    print("owner_lookup_420000_teams_all_parts", used, "s");
    print("parts_owned_by_one_of_48_members", static_cast<double>(own), "parts_of_1260000");
}
}

int main()
{
    std::cout << "seed " << Seed << "\n";
    for (const std::size_t size : {8U, 16U, 32U, 48U}) {
        measureCost(size);
    }
    measureStart();
    measureCrash();
    measureLeave();
    measureLookup();
    return 0;
}
