#pragma once

#include <plumsill/balancer.h>
#include <plumsill/health.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

/// Settings, faults and state of the model in health_fleet.h.
namespace plumsill::model
{
using namespace std::chrono_literals;

struct FleetOptions {
    std::size_t daemons = 32;
    std::size_t zones = 3;
    std::size_t targets = 6;
    unsigned slots = 6;
    double load = 0.5; ///< mean share of busy slots
    double serviceMedian = 0.04; ///< median service time in seconds
    double serviceSigma = 0.35; ///< standard deviation of ln(service time in seconds)
    double heavyShare = 0.01; ///< share of requests that take ten times as long, at every target
    double errorShare = 0.002;
    double loss = 0; ///< share of lost datagrams
    Duration delayMin = 1ms;
    Duration delayMax = 3ms;
    Duration requestTimeout = 5s;
    unsigned queueLimit = 12; ///< maximum number of waiting requests at one target
    double floor = 0.5;
    HealthPolicy policy;
    bool pooled = true; ///< false: there is no owner and each daemon evaluates only its own evidence
    std::uint64_t seed = 1;
};

struct TargetFault {
    double slowFactor = 1;
    double errorShare = 0;
    double truncatedShare = 0;
    bool dead = false; ///< refuses connections
    bool drains = false; ///< answers carry the drain header
};

struct TargetTotals {
    std::uint64_t requests = 0;
    std::uint64_t shed = 0;
    std::uint64_t queued = 0;
};

struct SeenEvent {
    TimePoint at;
    std::size_t daemon = 0;
    bool byOwner = false;
    HealthEvent event;
};

enum class Kind
{
    Arrival,
    AtTarget,
    Done,
    Answer,
    Tick,
    Digest,
    Verdict,
    Heartbeat,
};

struct Event {
    TimePoint at;
    Kind kind = Kind::Tick;
    std::size_t index = 0; ///< index of the daemon, request or message
    std::uint64_t order = 0;
    bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
};

struct Request {
    std::size_t daemon = 0;
    std::size_t target = 0;
    TimePoint sent;
    AnswerKind outcome = AnswerKind::Good;
    bool countedSlow = false;
    bool waits = false;
    unsigned attempts = 0;
    std::vector<std::size_t> tried;
};

struct TargetState {
    unsigned busySlots = 0;
    std::deque<std::size_t> queue;
    TimePoint coldUntil;
};

struct Daemon {
    Daemon(const EvidenceSource &self, std::uint64_t seed)
        : source(self)
        , local(self)
        , balancer(seed)
    { }
    EvidenceSource source;
    LocalHealth local;
    HealthOwner owner;
    Balancer balancer;
    ServiceView view;
    std::vector<std::set<std::size_t>> inFlight;
    std::vector<LatencyEstimate> latency;
    std::map<std::size_t, TargetEvidence> evidence;
    bool alive = true;
};

struct MessageInFlight {
    std::size_t to = 0;
    std::size_t from = 0;
    std::uint64_t epoch = 0;
    Message message;
};
}
