#include "fuzz_settings.h"
#include "operator_run.h"

#include <rapidcheck.h>

#include <set>

// Included last, as its macro for "new" breaks other headers.
#include <CppUTest/TestHarness.h>

// Runs concurrent changes of several operators under random faults and checks the replies that they receive against the
// writes that the store applied. Conditions with "||" are in parentheses, as RC_ASSERT would otherwise evaluate both sides.
using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Operators = 4;

/// One step of one operator, with the fault that is injected into its call.
struct OperatorAction {
    unsigned operatorIndex = 0;
    CallFault fault = CallFault::None;
    unsigned choice = 0; ///< selects the request that an idle operator starts; 999: a running operator crashes
    bool majority = true; ///< whether a majority of the members holds the document in this step
    bool deliverDelayedCalls = false; ///< delayed calls take effect after this action
};

rc::Gen<CallFault> genFault()
{
    return rc::gen::weightedElement<CallFault>(
        {{12, CallFault::None}, {1, CallFault::LostBefore}, {2, CallFault::LostAfter}, {2, CallFault::Delayed}, {2, CallFault::Stale}, {1, CallFault::Down}});
}

rc::Gen<OperatorAction> genOperatorAction()
{
    return rc::gen::build<OperatorAction>(rc::gen::set(&OperatorAction::operatorIndex, rc::gen::inRange(0U, Operators)),
                                          rc::gen::set(&OperatorAction::fault, genFault()), rc::gen::set(&OperatorAction::choice, rc::gen::inRange(0U, 1000U)),
                                          rc::gen::set(&OperatorAction::majority, rc::gen::weightedElement<bool>({{3, true}, {1, false}})),
                                          rc::gen::set(&OperatorAction::deliverDelayedCalls, rc::gen::weightedElement<bool>({{1, true}, {3, false}})));
}

/// A change that took effect, as recorded in its manifest.
struct AppliedChange {
    std::string environment;
    DocumentStamp stamp;
    std::string writeId;
};

struct ConcurrentOperators {
    FakeStore store;
    TimePoint now {1000s};
    std::vector<std::unique_ptr<OperatorRun>> running = std::vector<std::unique_ptr<OperatorRun>>(Operators);
    std::vector<AppliedChange> appliedChanges;
    std::map<std::string, ChangeReply> replies;
    std::set<std::string> crashed;
    std::array<DocumentHolder, 3> holders;
    unsigned started = 0;

    ConcurrentOperators()
    {
        store.written = [this](const StoredObject &object) { recordWrite(object); };
    }

    void recordWrite(const StoredObject &object)
    {
        const auto manifest = parseManifest(object.value);
        if (!manifest) {
            return;
        }
        const std::string environment = object.key == manifestKey(TrialEnvironment) ? TrialEnvironment : ProductionEnvironment;
        for (const auto &appliedChange : appliedChanges) {
            RC_ASSERT((appliedChange.environment != environment || appliedChange.stamp.version < manifest->stamp.version));
        }
        appliedChanges.push_back({environment, manifest->stamp, manifest->history.front().writeId});
    }

    std::uint64_t versionOf(const std::string &environment) const
    {
        const auto manifest = manifestIn(store, environment);
        return manifest ? manifest->stamp.version : 0;
    }

    ChangeRequest chooseRequest(unsigned choice) const
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

    void apply(const OperatorAction &action)
    {
        auto &run = running[action.operatorIndex];
        if (!run) {
            run = std::make_unique<OperatorRun>(orderOf(chooseRequest(action.choice), "write-" + std::to_string(++started)), now);
        } else if (action.choice == 999) {
            crashed.insert(run->writeId());
            run.reset();
        } else if (!run->done()) {
            run->advance(store, now, action.fault, {action.majority ? 3U : 1U, 4});
        } else {
            // The removal of old chunks (pieces of the replaced text) runs only in this later action, so that other
            // operators may have written since the reply.
            run->finish(store, now);
            replies[run->writeId()] = run->reply();
            run.reset();
        }
        if (action.deliverDelayedCalls) {
            store.deliverDelayed();
        }
        offerDocuments(action);
    }

    void offerDocuments(const OperatorAction &action)
    {
        auto &holder = holders[action.choice % holders.size()];
        const auto before = holder.stamp();
        const auto result = store.call(ReadCall {manifestKey(TrialEnvironment)}, action.fault);
        const auto manifest = result.has_value() ? parseManifest(std::get<StoredObject>(result.value()).value) : std::nullopt;
        const auto text = manifest ? textIn(store, TrialEnvironment) : std::nullopt;
        if (text) {
            // `text` always belongs to the current manifest. If the manifest read above is stale, its digest doesn't match
            // the text, and the holder must reject the document as it rejects the altered text.
            holder.offeredByStore(manifest->stamp, action.deliverDelayedCalls ? *text + "# damaged\n" : *text, now);
        }
        const auto &peer = holders[(action.choice + 1) % holders.size()];
        if (peer.held()) {
            holder.offeredByMember(peer.stamp(), peer.held()->text);
        }
        RC_ASSERT(holder.stamp().version >= before.version);
        RC_ASSERT((holder.stamp().version > before.version || holder.stamp() == before));
        RC_ASSERT((!holder.held() || sha256Hex(holder.held()->text) == holder.stamp().digest));
    }

    bool tookEffect(const std::string &writeId) const
    {
        return std::any_of(appliedChanges.begin(), appliedChanges.end(), [&](const AppliedChange &appliedChange) { return appliedChange.writeId == writeId; });
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
        for (const auto &appliedChange : appliedChanges) {
            RC_ASSERT(ids.insert(appliedChange.writeId).second);
        }
        for (const std::string environment : {TrialEnvironment, ProductionEnvironment}) {
            RC_ASSERT((versionOf(environment) == 0 || textIn(store, environment).has_value()));
        }
    }
};
}

TEST_GROUP(FuzzEnvironment) {};

TEST(FuzzEnvironment, VersionsIncreaseAndRepliesMatchTheWrites)
{
    fuzzSettings(1000);
    const bool holds = rc::check("concurrent operators under faults", [] {
        const auto actions = *rc::gen::resize(400, rc::gen::container<std::vector<OperatorAction>>(genOperatorAction()));
        ConcurrentOperators operators;
        for (const auto &action : actions) {
            operators.apply(action);
        }
        operators.finish();
        operators.check();
        RC_TAG(operators.appliedChanges.size() / 5 * 5);
    });
    CHECK(holds);
}
