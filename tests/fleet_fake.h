#pragma once

#include <plumsill/config.h>
#include <plumsill/membership.h>
#include <plumsill/ownership.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Membership state machines over a fake network, store and platform listing, in simulated time. fleet_oracle.h checks
/// their invariants.
namespace plumsill::fake
{
using namespace std::chrono_literals;

/// Properties of the simulated network, listing and clocks.
struct Profile {
    double loss = 0; ///< share of datagrams that are lost
    double duplicates = 0; ///< share of datagrams that are delivered twice
    Duration maxDelay = 5ms; ///< maximum delay of a message
    Duration listLag = 1s; ///< maximum delay of the platform's listing
    double drift = 0; ///< maximum drift of each daemon's clock in either direction, as a share
    bool alwaysHandOver = false; ///< daemons hand over keys at every change of owner, not only at a planned stop
};

/// One simulated daemon.
struct Node {
    Member self;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Ownership> ownership;
    bool alive = false;
    std::uint64_t generation = 0; ///< number of starts; actions that were scheduled before the last start are dropped
    TimePoint pausedUntil;
    std::vector<std::function<void()>> deferred; ///< actions that became due during the pause
    double rate = 1; ///< speed of the daemon's clock relative to the simulated time
    bool storeCut = false; ///< the daemon cannot reach the store
    std::uint64_t document = 0; ///< version of the document that the daemon holds
    std::uint64_t lastEpoch = 0;
    TimePoint nextHandOver;
};

/// The simulated store.
struct Store {
    std::optional<StoredRoster> roster;
    std::vector<StoredRoster> history;
    std::uint64_t document = 1; ///< version of the newest document
    bool down = false;
    Duration delay = 5ms; ///< maximum delay of a call
    double lostAnswers = 0; ///< share of writes whose result is lost
    double staleReads = 0; ///< share of reads that return an earlier roster
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// A fleet of simulated daemons. The methods whose last parameter is `on` start or end a fault.
class Fleet
{
public:
    Fleet(std::size_t size, std::uint64_t seed, Profile profile = {});

    void start(std::size_t index);
    void crash(std::size_t index, bool delist = true);
    void pause(std::size_t index, Duration duration);
    void leave(std::size_t index);
    void cut(std::size_t from, std::size_t to, bool on);
    void isolate(std::size_t index, bool in, bool out, bool on);
    void delist(std::size_t index, Duration after);
    /// Stores a new document.
    void putDocument();
    void run(Duration duration);
    /// Schedules @p action to run @p after from now.
    void at(Duration after, std::function<void()> action);

    /// Empty when every running daemon is a confirmed member of the same epoch and every key has an acting owner; otherwise
    /// the reason.
    std::string unsettledReason() const;
    /// Runs until the fleet has settled. Returns the time it took, or nothing after @p limit.
    std::optional<Duration> settle(Duration limit);
    /// Index of a running daemon that may act for @p key.
    std::optional<std::size_t> actingFor(const OwnedKey &key) const;

    std::vector<Node> nodes;
    Store store;
    Profile profile;
    TimePoint now {1h};
    std::mt19937_64 random;
    std::vector<OwnedKey> keys;
    std::vector<std::string> violations;
    std::uint64_t datagrams = 0;
    /// Called for each effect before it is applied.
    std::function<void(std::size_t, const MembershipEffect &)> onEffect;
    /// Called for each hand-over before it is sent.
    std::function<void(std::size_t, const HandOver &)> onHandOver;
    /// Lets a test inspect datagrams on the network; a datagram is dropped when it returns false.
    std::function<bool(const Endpoint &, const Envelope &)> filter;

    /// Time by the daemon's clock.
    TimePoint local(const Node &node) const { return TimePoint(1h) + scaled(now - TimePoint(1h), node.rate); }
    bool paused(const Node &node) const { return node.pausedUntil > now; }
    void deliver(const Endpoint &to, const Envelope &envelope);

private:
    struct ActingPeriod {
        MemberId by;
        std::uint64_t epoch = 0;
        TimePoint until;
    };

    static Duration scaled(Duration duration, double rate) { return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * rate)); }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }
    Duration delayUpTo(Duration limit) { return Duration(std::uniform_int_distribution<Duration::rep>(limit.count() / 50, limit.count())(random)); }
    std::size_t indexOf(const Endpoint &endpoint) const { return static_cast<std::size_t>(endpoint.port - FirstPort); }

    void runOrDefer(std::size_t index, std::uint64_t generation, const std::function<void(Node &)> &action);
    void step(std::size_t index, std::uint64_t generation);
    void readPlatform(std::size_t index, std::uint64_t generation);
    void apply(std::size_t index, const MembershipEffects &effects);
    void apply(std::size_t index, const SendDatagram &effect);
    void apply(std::size_t index, const FetchRoster &effect);
    void apply(std::size_t index, const ReadRoster &effect);
    void apply(std::size_t index, const WriteRoster &effect);
    void apply(std::size_t index, const ReadDocument &effect);
    void apply(std::size_t index, const RosterAdopted &effect);
    RosterWriteResult writeStore(const WriteRoster &effect);
    void send(std::size_t from, const Endpoint &to, const Envelope &envelope);
    void handOver(std::size_t index);
    void fetchDocument(std::size_t index);
    void checkActingOwners(std::size_t index);
    void checkDocument(std::size_t index);
    void recordViolation(const std::string &text);

    static constexpr std::uint16_t FirstPort = 7000;
    static constexpr std::uint64_t WallTimeMs = 1'764'000'000'000; ///< in the range of real incarnations
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_listed;
    std::map<std::size_t, ActingPeriod> m_lastActing; ///< by index of the key
    std::map<std::uint64_t, Roster> m_rosters;
    std::vector<std::pair<std::uint64_t, TimePoint>> m_accepted;
};

inline Fleet::Fleet(std::size_t size, std::uint64_t seed, Profile chosen)
    : nodes(size)
    , profile(chosen)
    , random(seed)
{
    for (std::size_t index = 0; index < size; ++index) {
        Member &self = nodes[index].self;
        self.id.name.value = "entry-" + std::to_string(index);
        self.zone.value = "z" + std::to_string(index % 3);
        self.peer = {"10.0.0.1", static_cast<std::uint16_t>(FirstPort + index)};
        self.admin = self.peer;
        nodes[index].rate = 1 + profile.drift * (2 * chance() - 1);
    }
    for (std::uint32_t number = 0; number < 6; ++number) {
        keys.push_back(PartKey {TeamName {"team" + std::to_string(number)}, number % 3});
        keys.push_back(VerdictKey {ServiceName {"service" + std::to_string(number)}});
    }
}

inline void Fleet::start(std::size_t index)
{
    Node &node = nodes[index];
    node.alive = true;
    ++node.generation;
    node.pausedUntil = now;
    node.deferred.clear();
    node.document = 0;
    node.lastEpoch = 0;
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    node.self.id.incarnation = WallTimeMs + static_cast<std::uint64_t>(started.count());
    std::vector<Endpoint> seeds;
    for (const Node &other : nodes) {
        seeds.push_back(other.self.peer);
    }
    node.membership = std::make_unique<Membership>(node.self, seeds, local(node));
    node.ownership = std::make_unique<Ownership>(*node.membership);
    node.membership->serving();
    const auto generation = node.generation;
    at(delayUpTo(profile.listLag), [this, index, generation] {
        if (nodes[index].alive && nodes[index].generation == generation) {
            m_listed.insert(index);
        }
    });
    at(delayUpTo(100ms), [this, index, generation] { step(index, generation); });
    at(delayUpTo(1s), [this, index, generation] { readPlatform(index, generation); });
}

inline void Fleet::crash(std::size_t index, bool isDelisted)
{
    nodes[index].alive = false;
    if (isDelisted) {
        delist(index, delayUpTo(profile.listLag));
    }
}

inline void Fleet::delist(std::size_t index, Duration after)
{
    const auto generation = nodes[index].generation;
    at(after, [this, index, generation] {
        if (nodes[index].generation == generation) {
            m_listed.erase(index);
        }
    });
}

inline void Fleet::pause(std::size_t index, Duration duration)
{
    nodes[index].pausedUntil = std::max(nodes[index].pausedUntil, now + duration);
}

inline void Fleet::leave(std::size_t index)
{
    runOrDefer(index, nodes[index].generation, [](Node &node) { node.membership->leave(); });
}

inline void Fleet::cut(std::size_t from, std::size_t to, bool on)
{
    if (on) {
        m_cuts.emplace(from, to);
    } else {
        m_cuts.erase({from, to});
    }
}

inline void Fleet::isolate(std::size_t index, bool in, bool out, bool on)
{
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (in) {
            cut(other, index, on);
        }
        if (out) {
            cut(index, other, on);
        }
    }
}

inline void Fleet::putDocument()
{
    if (!store.down) {
        ++store.document;
    }
}

inline void Fleet::at(Duration after, std::function<void()> action)
{
    m_events.emplace(now + after, std::move(action));
}

inline void Fleet::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        now = event.key();
        event.mapped()();
    }
    now = end;
}

inline void Fleet::runOrDefer(std::size_t index, std::uint64_t generation, const std::function<void(Node &)> &action)
{
    Node &node = nodes[index];
    if (!node.alive || node.generation != generation) {
        return;
    }
    if (paused(node)) {
        node.deferred.push_back([this, index, generation, action] { runOrDefer(index, generation, action); });
        return;
    }
    action(node);
}

// After a pause, the daemon first acts on its old state, and then processes the deferred actions.
inline void Fleet::step(std::size_t index, std::uint64_t generation)
{
    Node &node = nodes[index];
    if (!node.alive || node.generation != generation) {
        return;
    }
    if (paused(node)) {
        at(node.pausedUntil - now, [this, index, generation] { step(index, generation); });
        return;
    }
    checkActingOwners(index);
    auto deferred = std::move(node.deferred);
    node.deferred.clear();
    for (const auto &action : deferred) {
        action();
    }
    apply(index, node.membership->tick(local(node)));
    checkDocument(index);
    fetchDocument(index);
    handOver(index);
    at(100ms, [this, index, generation] { step(index, generation); });
}

inline void Fleet::readPlatform(std::size_t index, std::uint64_t generation)
{
    runOrDefer(index, generation, [this, index](Node &node) {
        if (store.down || node.storeCut || !node.membership->isWatcher(local(node))) {
            return;
        }
        std::vector<ListedInstance> list;
        for (const std::size_t shown : m_listed) {
            list.push_back({nodes[shown].self.id.name, false});
        }
        node.membership->instancesListed(list, local(node));
        apply(index, ReadDocument {});
    });
    if (nodes[index].alive && nodes[index].generation == generation) {
        at(2s, [this, index, generation] { readPlatform(index, generation); });
    }
}

inline void Fleet::apply(std::size_t index, const MembershipEffects &effects)
{
    for (const auto &effect : effects) {
        if (onEffect) {
            onEffect(index, effect);
        }
        std::visit([this, index](const auto &value) { apply(index, value); }, effect);
    }
}

inline void Fleet::apply(std::size_t index, const SendDatagram &effect)
{
    send(index, effect.to, effect.envelope);
}

inline void Fleet::send(std::size_t from, const Endpoint &to, const Envelope &envelope)
{
    ++datagrams;
    const bool dropped = filter && !filter(to, envelope);
    if (dropped || m_cuts.contains({from, indexOf(to)}) || chance() < profile.loss) {
        return;
    }
    const int copies = chance() < profile.duplicates ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(delayUpTo(profile.maxDelay), [this, to, envelope] { deliver(to, envelope); });
    }
}

inline void Fleet::deliver(const Endpoint &to, const Envelope &envelope)
{
    const std::size_t index = indexOf(to);
    runOrDefer(index, nodes[index].generation, [this, index, envelope](Node &node) {
        apply(index, node.membership->receive(envelope, local(node)));
        if (std::holds_alternative<HandOver>(envelope.message)) {
            node.ownership->acceptHandOver(envelope, local(node));
        }
    });
}

// A request and its reply over TCP. Neither is lost unless one of the two directions is cut.
inline void Fleet::apply(std::size_t index, const FetchRoster &effect)
{
    const std::size_t other = indexOf(effect.from);
    const auto generation = nodes[index].generation;
    at(delayUpTo(profile.maxDelay), [=, this] {
        if (m_cuts.contains({index, other}) || m_cuts.contains({other, index})) {
            return;
        }
        runOrDefer(other, nodes[other].generation, [=, this](Node &peer) {
            const auto reply = peer.membership->respond(effect.envelope);
            if (!reply) {
                return;
            }
            at(delayUpTo(profile.maxDelay),
               [=, this] { runOrDefer(index, generation, [=, this](Node &node) { apply(index, node.membership->receive(*reply, local(node))); }); });
        });
    });
}

inline void Fleet::apply(std::size_t index, const ReadRoster &)
{
    ++store.reads;
    const auto generation = nodes[index].generation;
    const Duration delay = delayUpTo(store.delay);
    const bool failed = store.down || nodes[index].storeCut || delay > config::StoreCallTimeout;
    const bool stale = chance() < store.staleReads && !store.history.empty();
    const auto old = stale ? std::optional(store.history[random() % store.history.size()]) : std::nullopt;
    at(failed ? Duration(config::StoreCallTimeout) : delay, [=, this] {
        const auto shown = stale ? old : store.roster;
        runOrDefer(index, generation, [=, this](Node &node) {
            apply(index, failed ? node.membership->rosterReadFailed(local(node)) : node.membership->rosterRead(shown, local(node)));
        });
    });
}

inline RosterWriteResult Fleet::writeStore(const WriteRoster &effect)
{
    const auto version = store.roster ? std::optional(store.roster->version) : std::nullopt;
    if (version != effect.replaces) {
        return RosterWriteResult::Conflict;
    }
    store.roster = StoredRoster {effect.roster, version.value_or(0) + 1};
    store.history.push_back(*store.roster);
    return RosterWriteResult::Written;
}

// A write that exceeds the timeout has an unknown result, but still takes effect later.
inline void Fleet::apply(std::size_t index, const WriteRoster &effect)
{
    ++store.writes;
    const auto generation = nodes[index].generation;
    const auto answer = [=, this](RosterWriteResult result, std::uint64_t version) {
        runOrDefer(index, generation, [=, this](Node &node) { apply(index, node.membership->rosterWritten(result, version, local(node))); });
    };
    const Duration delay = delayUpTo(store.delay);
    const bool unreachable = store.down || nodes[index].storeCut;
    const bool unknown = unreachable || delay > config::StoreCallTimeout || chance() < store.lostAnswers;
    if (!unreachable) {
        at(delay, [=, this] {
            const auto result = writeStore(effect);
            if (!unknown) {
                answer(result, store.roster->version);
            }
        });
    }
    if (unknown) {
        at(config::StoreCallTimeout, [=] { answer(RosterWriteResult::Unknown, 0); });
    }
}

inline void Fleet::apply(std::size_t index, const ReadDocument &)
{
    const auto generation = nodes[index].generation;
    const TimePoint startedAt = local(nodes[index]);
    if (store.down || nodes[index].storeCut) {
        return;
    }
    at(10ms, [=, this] { runOrDefer(index, generation, [=, this](Node &node) { node.membership->documentRead({store.document, "d"}, startedAt); }); });
}

inline void Fleet::apply(std::size_t index, const RosterAdopted &effect)
{
    Node &node = nodes[index];
    node.ownership->update();
    const Roster &roster = node.membership->roster();
    if (effect.epoch <= node.lastEpoch) {
        recordViolation("epoch decreased on " + node.self.id.name.value);
    }
    node.lastEpoch = effect.epoch;
    const auto [known, fresh] = m_rosters.try_emplace(effect.epoch, roster);
    if (!fresh && known->second != roster) {
        recordViolation("two rosters of epoch " + std::to_string(effect.epoch));
    }
    const auto before = m_rosters.find(effect.epoch - 1);
    if (before != m_rosters.end() && before->second.members != roster.predecessor) {
        recordViolation("wrong predecessor in epoch " + std::to_string(effect.epoch));
    }
    node.nextHandOver = local(node);
    handOver(index);
}

// A hand-over includes the tokens that the former owner granted and that may still be spent. The new owner may thus act at
// once, so the acting period of the former owner ends with the hand-over.
inline void Fleet::handOver(std::size_t index)
{
    Node &node = nodes[index];
    const bool wanted = profile.alwaysHandOver || node.membership->state() == MemberState::Leaving;
    const auto &history = node.membership->history();
    const bool late = history.empty() || local(node) - history.back().adoptedAt >= config::HandOverRepeatFor;
    if (!wanted || late || local(node) < node.nextHandOver) {
        return;
    }
    node.nextHandOver = local(node) + config::HandOverRepeat;
    for (std::size_t number = 0; number < keys.size(); ++number) {
        const auto *key = std::get_if<PartKey>(&keys[number]);
        if (!key || !node.ownership->mayHandOver(*key, local(node))) {
            continue;
        }
        const HandOver message {node.ownership->ownerOf(*key)->id, key->team, key->part, 1, 0};
        if (onHandOver) {
            onHandOver(index, message);
        }
        ActingPeriod &last = m_lastActing[number];
        if (last.by == node.self.id) {
            last.until = std::min(last.until, now);
        }
        send(index, node.ownership->ownerOf(*key)->peer, node.membership->envelope(message));
    }
}

inline void Fleet::fetchDocument(std::size_t index)
{
    Node &node = nodes[index];
    const auto newest = node.membership->highestDocument();
    if (newest.version <= node.document) {
        return;
    }
    const bool fromStore = !store.down && !node.storeCut;
    bool fromPeer = false;
    for (const Member &holder : node.membership->holders(newest)) {
        const std::size_t other = indexOf(holder.peer);
        fromPeer = fromPeer || (nodes[other].alive && !m_cuts.contains({index, other}) && !m_cuts.contains({other, index}));
    }
    if ((fromStore || fromPeer) && chance() < 0.3) {
        node.document = newest.version;
        node.membership->documentChanged({newest.version, "d"});
    }
}
}
