#include "fuzz_settings.h"
#include "operator_run.h"

#include <rapidcheck.h>

#include <set>

// Last, since its macros replace "new".
#include <CppUTest/TestHarness.h>

/// Operators race under random faults; the oracle is the order of the writes that the store saw.
/// Conditions with "||" stand in brackets: RC_ASSERT would take them apart and evaluate both sides.
using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Operators = 4;

/// One step of one operator, with the fault of its call.
struct Move {
    unsigned who = 0;
    CallFault fault = CallFault::None;
    unsigned choice = 0; ///< what the operator starts when it is idle
    bool majority = true;
    bool deliver = false; ///< delayed calls arrive after this move
};

rc::Gen<CallFault> genFault()
{
    return rc::gen::weightedElement<CallFault>(
        {{12, CallFault::None}, {1, CallFault::LostBefore}, {2, CallFault::LostAfter}, {2, CallFault::Delayed}, {2, CallFault::Stale}, {1, CallFault::Down}});
}

rc::Gen<Move> genMove()
{
    return rc::gen::build<Move>(rc::gen::set(&Move::who, rc::gen::inRange(0U, Operators)), rc::gen::set(&Move::fault, genFault()),
                                rc::gen::set(&Move::choice, rc::gen::inRange(0U, 1000U)),
                                rc::gen::set(&Move::majority, rc::gen::weightedElement<bool>({{3, true}, {1, false}})),
                                rc::gen::set(&Move::deliver, rc::gen::weightedElement<bool>({{1, true}, {3, false}})));
}

/// A change that took effect, as its manifest says.
struct Effect {
    std::string environment;
    DocumentStamp stamp;
    std::string writeId;
};

struct Race {
    FakeStore store;
    TimePoint now {1000s};
    std::vector<std::unique_ptr<OperatorRun>> running = std::vector<std::unique_ptr<OperatorRun>>(Operators);
    std::vector<Effect> effects;
    std::map<std::string, ChangeReply> replies;
    std::set<std::string> crashed;
    std::array<DocumentHolder, 3> holders;
    unsigned started = 0;

    Race()
    {
        store.written = [this](const StoredObject &object) { see(object); };
    }

    void see(const StoredObject &object)
    {
        const auto manifest = parseManifest(object.value);
        if (!manifest) {
            return;
        }
        const std::string environment = object.key == manifestKey(TrialEnvironment) ? TrialEnvironment : ProductionEnvironment;
        for (const auto &effect : effects) {
            RC_ASSERT((effect.environment != environment || effect.stamp.version < manifest->stamp.version));
        }
        effects.push_back({environment, manifest->stamp, manifest->history.front().writeId});
    }

    std::uint64_t versionOf(const std::string &environment) const
    {
        const auto manifest = manifestIn(store, environment);
        return manifest ? manifest->stamp.version : 0;
    }

    ChangeRequest choose(unsigned choice) const
    {
        const auto trial = manifestIn(store, TrialEnvironment);
        switch (choice % 4) {
        case 0:
            return ProveRequest {versionOf(TrialEnvironment)};
        case 1:
            return PromoteRequest {trial ? trial->stamp.digest : std::string(), versionOf(ProductionEnvironment)};
        default:
            return PutRequest {documentWithTeam("t" + std::to_string(choice / 4 % 5)), versionOf(TrialEnvironment)};
        }
    }

    void move(const Move &move)
    {
        auto &run = running[move.who];
        if (!run) {
            run = std::make_unique<OperatorRun>(orderOf(choose(move.choice), "write-" + std::to_string(++started)), now);
        } else if (move.choice == 999) {
            crashed.insert(run->writeId());
            run.reset();
        } else if (!run->done()) {
            run->advance(store, now, move.fault, {move.majority ? 3U : 1U, 4});
        } else {
            // Its removals come late, after whatever the others did meanwhile.
            run->finish(store, now);
            replies[run->writeId()] = run->reply();
            run.reset();
        }
        if (move.deliver) {
            store.deliverDelayed();
        }
        offer(move);
    }

    void offer(const Move &move)
    {
        auto &holder = holders[move.choice % holders.size()];
        const auto before = holder.stamp();
        const auto result = store.call(ReadCall {manifestKey(TrialEnvironment)}, move.fault);
        const auto manifest = result.has_value() ? parseManifest(std::get<StoredObject>(result.value()).value) : std::nullopt;
        const auto text = manifest ? textIn(store, TrialEnvironment) : std::nullopt;
        if (text) {
            // A stale manifest comes with the text of the present one: that is a damaged offer too.
            holder.offeredByStore(manifest->stamp, move.deliver ? *text + "# damaged\n" : *text, now);
        }
        const auto &peer = holders[(move.choice + 1) % holders.size()];
        if (peer.held()) {
            holder.offeredByMember(peer.stamp(), peer.held()->text);
        }
        RC_ASSERT(holder.stamp().version >= before.version);
        RC_ASSERT((holder.stamp().version > before.version || holder.stamp() == before));
        RC_ASSERT((!holder.held() || sha256Hex(holder.held()->text) == holder.stamp().digest));
    }

    bool tookEffect(const std::string &writeId) const
    {
        return std::any_of(effects.begin(), effects.end(), [&](const Effect &effect) { return effect.writeId == writeId; });
    }

    void finish()
    {
        for (auto &run : running) {
            if (run) {
                run->finish(store, now);
                replies[run->writeId()] = run->reply();
            }
        }
        store.deliverDelayed();
    }

    void check()
    {
        const auto *proof = store.find(proofKey());
        for (const auto &[writeId, reply] : replies) {
            const bool proved = reply.reason == "proved";
            if (reply.outcome == ChangeOutcome::Accepted && !proved) {
                RC_ASSERT(tookEffect(writeId));
            }
            if (reply.outcome == ChangeOutcome::Conflict || reply.outcome == ChangeOutcome::Refused) {
                RC_ASSERT(!tookEffect(writeId));
                RC_ASSERT((proof == nullptr || parseProof(proof->value)->writeId != writeId));
            }
        }
        std::set<std::string> ids;
        for (const auto &effect : effects) {
            RC_ASSERT(ids.insert(effect.writeId).second);
        }
        for (const std::string environment : {TrialEnvironment, ProductionEnvironment}) {
            RC_ASSERT((versionOf(environment) == 0 || textIn(store, environment).has_value()));
        }
    }
};
}

TEST_GROUP(FuzzEnvironment) {};

TEST(FuzzEnvironment, OneHighestVersionAndOneWinnerPerReplacedVersion)
{
    fuzzSettings(1000);
    const bool holds = rc::check("operators race under faults", [] {
        const auto moves = *rc::gen::resize(400, rc::gen::container<std::vector<Move>>(genMove()));
        Race race;
        for (const auto &move : moves) {
            race.move(move);
        }
        race.finish();
        race.check();
        RC_TAG(race.effects.size() / 5 * 5);
    });
    CHECK(holds);
}
