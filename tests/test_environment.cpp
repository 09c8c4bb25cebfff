#include "operator_run.h"

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
struct Fixture {
    FakeStore store;
    TimePoint now {1000s};
    unsigned writes = 0;

    ChangeReply change(ChangeRequest request, Holders holders = {3, 4})
    {
        return runToEnd(store, now, std::move(request), "write-" + std::to_string(++writes), holders);
    }
    ChangeReply putTrial(const std::string &text, std::uint64_t replaces) { return change(PutRequest {text, replaces}); }
};

void checkOutcome(ChangeOutcome expected, const ChangeReply &reply)
{
    STRCMP_EQUAL_TEXT(toString(expected), toString(reply.outcome), reply.reason.c_str());
}

std::string largeDocument(unsigned teams)
{
    std::string text = smallDocument;
    for (unsigned i = 0; i < teams; ++i) {
        text += "[team t" + std::to_string(i) + "]\nrate = 1/s\nburst = 1\n# " + std::string(150, 'x') + "\n";
    }
    return text;
}

DocumentStamp stampOf(std::uint64_t version, const std::string &text)
{
    return {version, sha256Hex(text)};
}
}

TEST_GROUP(Manifest) {};

TEST(Manifest, ReadsBackAsWritten)
{
    const Manifest manifest {{7, "d"}, {{"c1", 3}, {"c2", 4}}, {{7, "d", "ann", "put", "now", "w"}}};
    CHECK(parseManifest(toJson(manifest)) == std::optional(manifest));
    CHECK(!parseManifest("{}"));
    CHECK(!parseManifest("not json"));
    const Proof proof {{7, "d"}, "ann", "now", "w"};
    CHECK(parseProof(toJson(proof)) == std::optional(proof));
}

TEST(Manifest, ChunksAreBoundedAndGiveTheText)
{
    const auto text = largeDocument(9000);
    std::string joined;
    for (const auto &chunk : splitText(text, 100'000)) {
        CHECK(chunk.size() <= 100'000);
        joined += chunk;
    }
    CHECK(joined == text);
    CHECK(splitText("", 10).empty());
    CHECK((splitText("abcdefgh", 3) == std::vector<std::string> {"abc", "def", "gh"}));
}

TEST(Manifest, EditChangesFewChunks)
{
    auto text = largeDocument(30000);
    const auto before = splitText(text, config::MaxChunkBytes);
    text.insert(text.find("[team t100]"), "[team fresh]\nrate = 1/s\nburst = 1\n");
    const auto after = splitText(text, config::MaxChunkBytes);
    CHECK(before.size() > 10);
    const auto isNew = [&](const std::string &chunk) { return std::find(before.begin(), before.end(), chunk) == before.end(); };
    // Some chunks of the text end because they are full, others at a section whose header's hash marks an end. An edit
    // shifts the ends of full chunks only up to the next marked end. At most a quarter of the chunks may therefore be new.
    CHECK(std::count_if(after.begin(), after.end(), isNew) * 4 <= static_cast<long>(after.size()));
}

TEST_GROUP(Environment) {};

TEST(Environment, DocumentGoesFromTrialToProduction)
{
    Fixture fixture;
    checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(smallDocument, 0));
    checkOutcome(ChangeOutcome::Accepted, fixture.change(ProveRequest {1}));
    const auto reply = fixture.change(PromoteRequest {sha256Hex(smallDocument), 0});
    checkOutcome(ChangeOutcome::Accepted, reply);
    CHECK(reply.stamp == stampOf(1, smallDocument));
    CHECK(textIn(fixture.store, ProductionEnvironment) == smallDocument);
    const auto history = manifestIn(fixture.store, ProductionEnvironment)->history;
    STRCMP_EQUAL("promote", history.at(0).action.c_str());
    STRCMP_EQUAL("ann", history.at(0).author.c_str());
}

TEST(Environment, InvalidDocumentIsRefusedWithItsProblems)
{
    Fixture fixture;
    const auto reply = fixture.putTrial("[team x]\n", 0);
    checkOutcome(ChangeOutcome::Refused, reply);
    LONGS_EQUAL(2, reply.problems.size());
    LONGS_EQUAL(0, fixture.store.count(""));
}

TEST(Environment, ReplacedVersionMustBeCurrent)
{
    Fixture fixture;
    fixture.putTrial(smallDocument, 0);
    checkOutcome(ChangeOutcome::Conflict, fixture.putTrial(documentWithTeam("a"), 0));
    checkOutcome(ChangeOutcome::Conflict, fixture.putTrial(documentWithTeam("a"), 2));
    checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(documentWithTeam("a"), 1));
    CHECK(textIn(fixture.store, TrialEnvironment) == documentWithTeam("a"));
}

TEST(Environment, OnlyTheProvedDigestIsPromoted)
{
    Fixture fixture;
    fixture.putTrial(smallDocument, 0);
    checkOutcome(ChangeOutcome::Conflict, fixture.change(PromoteRequest {sha256Hex(smallDocument), 0}));
    checkOutcome(ChangeOutcome::Conflict, fixture.change(ProveRequest {2}));
    fixture.change(ProveRequest {1});
    const auto later = documentWithTeam("a");
    fixture.putTrial(later, 1);
    checkOutcome(ChangeOutcome::Conflict, fixture.change(PromoteRequest {sha256Hex(later), 0}));
    checkOutcome(ChangeOutcome::Conflict, fixture.change(PromoteRequest {sha256Hex(smallDocument), 0}));
    CHECK(!manifestIn(fixture.store, ProductionEnvironment));
}

TEST(Environment, AcceptedNeedsAMajority)
{
    Fixture fixture;
    const auto reply = fixture.change(PutRequest {smallDocument, 0}, {2, 4});
    checkOutcome(ChangeOutcome::Unknown, reply);
    STRCMP_EQUAL("held by 2 of 4 daemons", reply.reason.c_str());
    checkOutcome(ChangeOutcome::Refused, fixture.change(ProveRequest {1}, {2, 4}));
    checkOutcome(ChangeOutcome::Unknown, fixture.change(PutRequest {smallDocument, 1}, {0, 0}));
}

TEST(Environment, DaemonOfAnotherEnvironmentReportsOnlyStored)
{
    Fixture fixture;
    auto order = orderOf(PutRequest {smallDocument, 0}, "w");
    order.environment = ProductionEnvironment;
    OperatorRun run(order, fixture.now);
    run.finish(fixture.store, fixture.now, {4, 4});
    checkOutcome(ChangeOutcome::Stored, run.reply());
}

TEST(Environment, VersionRisesAboveWhatDaemonsHold)
{
    Fixture fixture;
    auto order = orderOf(PutRequest {smallDocument, 0}, "w");
    order.highestSeen = 41; // daemons hold a later version than the store, as after the store was restored from a backup
    OperatorRun run(order, fixture.now);
    run.finish(fixture.store, fixture.now);
    LONGS_EQUAL(42, run.reply().stamp.version);
}

TEST(Environment, LargeDocumentIsSplitAndOldChunksAreRemoved)
{
    Fixture fixture;
    const auto large = largeDocument(9000);
    checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(large, 0));
    CHECK(manifestIn(fixture.store, TrialEnvironment)->chunks.size() >= 4);
    CHECK(textIn(fixture.store, TrialEnvironment) == large);
    checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(smallDocument, 1));
    LONGS_EQUAL(1, fixture.store.count(chunkKey(TrialEnvironment, "")));
}

TEST(Environment, ReusedChunkSurvivesALateRemoval)
{
    Fixture fixture;
    fixture.putTrial(smallDocument, 0);
    OperatorRun second(orderOf(PutRequest {documentWithTeam("a"), 1}, "late"), fixture.now);
    while (!second.done()) {
        second.advance(fixture.store, fixture.now, CallFault::None, {3, 4});
    }
    // The first text is put again before the second writer has removed the chunk of the first text.
    checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(smallDocument, 2));
    second.finish(fixture.store, fixture.now);
    CHECK(textIn(fixture.store, TrialEnvironment) == smallDocument);
}

TEST(Environment, HistoryIsBounded)
{
    Fixture fixture;
    for (std::uint64_t i = 0; i < config::MaxHistoryEntries + 5; ++i) {
        checkOutcome(ChangeOutcome::Accepted, fixture.putTrial(smallDocument, i));
    }
    LONGS_EQUAL(config::MaxHistoryEntries, manifestIn(fixture.store, TrialEnvironment)->history.size());
}

TEST_GROUP(DocumentHolderTest)
{
    const std::string second = documentWithTeam("a");
    const MemberId peer {{"peer"}, 1};
    DocumentHolder holder;

    void hold(std::uint64_t version, const std::string &text, TimePoint sent)
    {
        holder.offeredByStore(stampOf(version, text), text, sent);
    }
};

TEST(DocumentHolderTest, AdoptsHigherVersionsOnly)
{
    hold(2, smallDocument, TimePoint(1s));
    LONGS_EQUAL(2, holder.stamp().version);
    CHECK(holder.offeredByMember(stampOf(1, second), second).empty());
    CHECK(holder.offeredByMember(stampOf(2, second), second).empty());
    LONGS_EQUAL(2, holder.stamp().version);
    CHECK(holder.held()->text == smallDocument);
    const auto effects = holder.offeredByMember(stampOf(3, second), second);
    CHECK(std::holds_alternative<AdoptDocument>(effects.at(0)));
    LONGS_EQUAL(3, holder.stamp().version);
}

TEST(DocumentHolderTest, InvalidTextIsRejected)
{
    hold(1, smallDocument, TimePoint(1s));
    const auto damaged = holder.offeredByMember(stampOf(2, second), second + "# valid, but another text\n");
    CHECK(std::holds_alternative<RejectOffer>(damaged.at(0)));
    const std::string invalid = "[team x]\n";
    CHECK(std::holds_alternative<RejectOffer>(holder.offeredByStore(stampOf(2, invalid), invalid, TimePoint(2s)).at(0)));
    LONGS_EQUAL(1, holder.stamp().version);
    CHECK_TEXT(holder.trusted(TimePoint(7s)), "an invalid document in the store doesn't make the held one untrusted");
    CHECK_TEXT(holder.confirmedByStore(stampOf(2, invalid), TimePoint(3s)), "it is not read again");
}

TEST(DocumentHolderTest, TrustExpiresWithoutConfirmation)
{
    CHECK(!holder.trusted(TimePoint(1s)));
    hold(1, smallDocument, TimePoint(1s));
    CHECK(holder.trusted(TimePoint(6s)));
    CHECK(!holder.trusted(TimePoint(6001ms)));
    holder.confirmedByMembers(holder.stamp(), TimePoint(5s));
    CHECK(holder.trusted(TimePoint(10s)));
    holder.confirmedByMembers(stampOf(2, second), TimePoint(20s));
    CHECK_TEXT(!holder.trusted(TimePoint(20s)), "a later document was confirmed, not the held one");
}

TEST(DocumentHolderTest, OlderDocumentInStoreDoesNotConfirm)
{
    hold(2, smallDocument, TimePoint(1s));
    CHECK(holder.confirmedByStore(stampOf(1, second), TimePoint(9s)));
    CHECK(!holder.trusted(TimePoint(9s)));
    CHECK(!holder.confirmedByStore(stampOf(3, second), TimePoint(9s)));
    CHECK(!holder.trusted(TimePoint(9s)));
}

TEST(DocumentHolderTest, ReportedLaterDocumentEndsTrustInTheHeldOne)
{
    hold(1, smallDocument, TimePoint(1s));
    holder.reportedByMember(peer, stampOf(2, second), TimePoint(2s));
    holder.confirmedByStore(holder.stamp(), TimePoint(5s));
    CHECK(holder.trusted(TimePoint(6s)));
    CHECK(!holder.trusted(TimePoint(6001ms)));
    hold(2, second, TimePoint(7s));
    CHECK(holder.trusted(TimePoint(7s)));
}

TEST(DocumentHolderTest, DocumentOfPeerIsFetchedOnceAndTrustedWhenConfirmed)
{
    const auto stamp = stampOf(4, smallDocument);
    CHECK(std::holds_alternative<FetchDocument>(holder.reportedByMember(peer, stamp, TimePoint(1s)).at(0)));
    CHECK(holder.reportedByMember(peer, stamp, TimePoint(1400ms)).empty());
    LONGS_EQUAL(1, holder.reportedByMember(peer, stamp, TimePoint(1600ms)).size());
    holder.offeredByMember(stamp, smallDocument);
    CHECK(!holder.trusted(TimePoint(2s)));
    holder.confirmedByMembers(stamp, TimePoint(2s));
    CHECK(holder.trusted(TimePoint(2s)));
    CHECK(holder.reportedByMember(peer, stamp, TimePoint(3s)).empty());
    LONGS_EQUAL(1, holder.reportedByMember(peer, stampOf(5, second), TimePoint(3s)).size());
    LONGS_EQUAL_TEXT(1, holder.reportedByMember(peer, stampOf(6, second), TimePoint(3100ms)).size(),
                     "an even later one is fetched at once while a fetch is pending");
}
