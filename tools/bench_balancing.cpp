#include <plumsill/balancer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

/// Compares load balancing strategies in simulated time, for 48 daemons before a few targets with few slots.
/// usage: bench-balancing [SEED]
using namespace plumsill;

namespace
{
enum class Strategy
{
    Random,
    RoundRobin,
    LeastInFlight,
    PowerOfTwo,
    PowerOfTwoLatency,
    LeastLatency, ///< strategy of the class Balancer
    Subset,
    GrantedSlots,
};

struct Setup {
    Strategy strategy = Strategy::Random;
    std::size_t targets = 6;
    unsigned slots = 6;
    double load = 0.7;
    bool gray = false; ///< gray failure: the first target is ten times slower
};

constexpr std::size_t Daemons = 48;
constexpr std::size_t SubsetSize = 4;
constexpr double ServiceMedian = 0.04; // seconds; with ServiceSigma, 80% of the requests take 25 to 63 ms
constexpr double ServiceSigma = 0.35;
constexpr double SlowRequestShare = 0.01; // share of the requests that take ten times as long, at every target
constexpr double OneWayDelay = 0.0015; // seconds, between zones
constexpr unsigned QueuePerSlot = 4;
constexpr unsigned MaxAttempts = 3;
constexpr double SimulatedSeconds = 120;
constexpr double WarmUp = 10;

const char *nameOf(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Random:
        return "random";
    case Strategy::RoundRobin:
        return "round_robin";
    case Strategy::LeastInFlight:
        return "least_in_flight";
    case Strategy::PowerOfTwo:
        return "power_of_two";
    case Strategy::PowerOfTwoLatency:
        return "power_of_two_latency";
    case Strategy::LeastLatency:
        return "least_latency";
    case Strategy::Subset:
        return "subset_of_4";
    case Strategy::GrantedSlots:
        return "granted_slots";
    }
    return "";
}

struct Request {
    double arrived = 0;
    std::size_t daemon = 0;
    std::size_t target = 0;
    unsigned attempts = 0;
};

class Simulation
{
public:
    Simulation(const Setup &setup, std::uint64_t seed)
        : m_setup(setup)
        , m_random(seed)
        , m_targets(setup.targets)
        , m_inFlight(Daemons, std::vector<unsigned>(setup.targets))
        , m_latency(Daemons, std::vector<LatencyEstimate>(setup.targets))
        , m_granted(setup.targets)
    {
        for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
            m_balancers.emplace_back(seed * Daemons + daemon);
            m_nextTarget.push_back(m_random() % setup.targets);
        }
    }

    void run()
    {
        scheduleArrival();
        while (m_now < SimulatedSeconds) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    void print()
    {
        std::sort(m_waits.begin(), m_waits.end());
        std::uint64_t busiest = 0;
        std::uint64_t total = 0;
        for (const auto &target : m_targets) {
            busiest = std::max(busiest, target.requests);
            total += target.requests;
        }
        const double mean = static_cast<double>(total) / static_cast<double>(m_targets.size());
        line("wait_p50", quantile(0.5) * 1e3, "ms");
        line("wait_p99", quantile(0.99) * 1e3, "ms");
        line("queued", 100.0 * static_cast<double>(m_queued) / static_cast<double>(total), "%");
        line("shed", 100.0 * static_cast<double>(m_shed) / static_cast<double>(total), "%");
        line("lost", 100.0 * static_cast<double>(m_lost) / static_cast<double>(total), "%");
        line("busiest_target", static_cast<double>(busiest) / mean, "of_mean");
    }

private:
    struct Event {
        double at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    struct Target {
        unsigned busySlots = 0;
        std::deque<Request> queue;
        std::uint64_t requests = 0;
    };

    void line(const char *figure, double value, const char *unit) const
    {
        std::printf("balancing.%s.%zux%u.load%.0f%s.%s %.3f %s\n", nameOf(m_setup.strategy), m_setup.targets, m_setup.slots, m_setup.load * 100,
                    m_setup.gray ? "_gray" : "", figure, value, unit);
    }

    double quantile(double share) const { return m_waits.empty() ? 0 : m_waits[static_cast<std::size_t>(share * static_cast<double>(m_waits.size() - 1))]; }

    void schedule(double delay, std::function<void()> run) { m_events.push({m_now + delay, ++m_order, std::move(run)}); }

    void scheduleArrival()
    {
        const double mean = ServiceMedian * std::exp(ServiceSigma * ServiceSigma / 2) * (1 + 9 * SlowRequestShare);
        const double rate = m_setup.load * m_setup.slots * static_cast<double>(m_setup.targets) / mean;
        schedule(std::exponential_distribution<double>(rate)(m_random), [this] {
            scheduleArrival();
            dispatch({m_now, m_random() % Daemons, m_setup.targets, 0});
        });
    }

    void dispatch(Request request)
    {
        if (++request.attempts > MaxAttempts) {
            ++m_lost;
            return;
        }
        if (m_setup.strategy == Strategy::GrantedSlots) {
            schedule(OneWayDelay, [this, request] {
                m_waiting.push_back(request);
                grant();
            });
            return;
        }
        request.target = choose(request);
        send(request);
    }

    void send(const Request &request)
    {
        ++m_inFlight[request.daemon][request.target];
        schedule(OneWayDelay, [this, request] { arriveAtTarget(request); });
    }

    // With Strategy::GrantedSlots one owner grants the slots of all targets. It knows all granted slots, and grants the next
    // one at the target with the fewest.
    void grant()
    {
        while (!m_waiting.empty()) {
            const auto leastGranted = std::min_element(m_granted.begin(), m_granted.end());
            if (*leastGranted >= m_setup.slots) {
                return;
            }
            ++*leastGranted;
            Request request = m_waiting.front();
            m_waiting.pop_front();
            request.target = static_cast<std::size_t>(leastGranted - m_granted.begin());
            schedule(OneWayDelay, [this, request] { send(request); });
        }
    }

    TimePoint time() const { return TimePoint(fromSeconds(m_now)); }

    double cost(std::size_t daemon, std::size_t target) const
    {
        const double queue = m_inFlight[daemon][target] + 1.0;
        return m_setup.strategy == Strategy::PowerOfTwoLatency ? queue * m_latency[daemon][target].value(time()) : queue;
    }

    // Returns the targets for an attempt. The target that refused the request last isn't among them.
    std::vector<std::size_t> candidateTargets(const Request &request) const
    {
        const bool subset = m_setup.strategy == Strategy::Subset;
        const std::size_t size = subset ? std::min(SubsetSize, m_setup.targets) : m_setup.targets;
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < size; ++index) {
            const std::size_t target = subset ? (request.daemon * size + index) % m_setup.targets : index;
            if (target != request.target) {
                found.push_back(target);
            }
        }
        return found;
    }

    std::size_t choose(const Request &request)
    {
        std::vector<std::size_t> targets = candidateTargets(request);
        switch (m_setup.strategy) {
        case Strategy::Random:
            return targets[m_random() % targets.size()];
        case Strategy::RoundRobin:
            return targets[m_nextTarget[request.daemon]++ % targets.size()];
        case Strategy::LeastLatency:
            return pickByBalancer(request.daemon, targets);
        case Strategy::PowerOfTwo:
        case Strategy::PowerOfTwoLatency:
        case Strategy::Subset:
            std::shuffle(targets.begin(), targets.end(), m_random);
            return cost(request.daemon, targets[1]) < cost(request.daemon, targets[0]) ? targets[1] : targets[0];
        default:
            std::shuffle(targets.begin(), targets.end(), m_random);
            return *std::min_element(targets.begin(), targets.end(),
                                     [&](std::size_t a, std::size_t b) { return cost(request.daemon, a) < cost(request.daemon, b); });
        }
    }

    std::size_t pickByBalancer(std::size_t daemon, const std::vector<std::size_t> &targets)
    {
        std::vector<Candidate> candidates;
        for (const std::size_t target : targets) {
            Candidate candidate;
            candidate.slots = m_setup.slots;
            candidate.inFlight = m_inFlight[daemon][target];
            candidate.latency = m_latency[daemon][target].value(time());
            candidates.push_back(candidate);
        }
        return targets[*m_balancers[daemon].pick(candidates)];
    }

    void arriveAtTarget(const Request &request)
    {
        Target &target = m_targets[request.target];
        ++target.requests;
        if (target.busySlots < m_setup.slots) {
            start(request);
        } else if (target.queue.size() < static_cast<std::size_t>(QueuePerSlot) * m_setup.slots) {
            ++m_queued;
            target.queue.push_back(request);
        } else {
            ++m_shed;
            schedule(OneWayDelay, [this, request] {
                --m_inFlight[request.daemon][request.target];
                dispatch(request);
            });
        }
    }

    void start(const Request &request)
    {
        ++m_targets[request.target].busySlots;
        if (request.arrived > WarmUp) {
            m_waits.push_back(m_now - request.arrived - OneWayDelay);
        }
        double work = std::lognormal_distribution<double>(std::log(ServiceMedian), ServiceSigma)(m_random);
        work *= std::bernoulli_distribution(SlowRequestShare)(m_random) ? 10 : 1;
        work *= m_setup.gray && request.target == 0 ? 10 : 1;
        schedule(work, [this, request] { finish(request); });
    }

    void finish(const Request &request)
    {
        Target &target = m_targets[request.target];
        --target.busySlots;
        schedule(OneWayDelay, [this, request] { receiveAnswer(request); });
        if (!target.queue.empty()) {
            const Request next = target.queue.front();
            target.queue.pop_front();
            start(next);
        }
    }

    void receiveAnswer(const Request &request)
    {
        --m_inFlight[request.daemon][request.target];
        m_latency[request.daemon][request.target].add(fromSeconds(m_now - request.arrived), time());
        if (m_setup.strategy == Strategy::GrantedSlots) {
            schedule(OneWayDelay, [this, request] {
                --m_granted[request.target];
                grant();
            });
        }
    }

    Setup m_setup;
    std::mt19937_64 m_random;
    std::vector<Target> m_targets;
    std::vector<std::vector<unsigned>> m_inFlight;
    std::vector<std::vector<LatencyEstimate>> m_latency;
    std::vector<std::size_t> m_nextTarget;
    std::vector<unsigned> m_granted; ///< number of granted slots of each target
    std::deque<Request> m_waiting; ///< requests that wait for a slot at the owner
    std::vector<Balancer> m_balancers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    std::vector<double> m_waits;
    std::uint64_t m_queued = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_lost = 0;
};

void compare(Setup setup, std::uint64_t seed)
{
    for (const Strategy strategy : {Strategy::Random, Strategy::RoundRobin, Strategy::LeastInFlight, Strategy::PowerOfTwo, Strategy::PowerOfTwoLatency,
                                    Strategy::LeastLatency, Strategy::Subset, Strategy::GrantedSlots}) {
        setup.strategy = strategy;
        Simulation simulation(setup, seed);
        simulation.run();
        simulation.print();
    }
}
}

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu number\n", static_cast<unsigned long long>(seed));
    Setup setup;
    for (const auto &[targets, slots] : {std::pair(8U, 3U), std::pair(15U, 3U), std::pair(6U, 6U), std::pair(11U, 6U)}) {
        setup.targets = targets;
        setup.slots = slots;
        setup.gray = false;
        for (const double load : {0.7, 0.95}) {
            setup.load = load;
            compare(setup, seed);
        }
        setup.load = 0.5;
        setup.gray = true;
        compare(setup, seed);
    }
    return 0;
}
