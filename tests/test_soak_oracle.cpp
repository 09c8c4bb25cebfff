#include "../tools/soak_oracle.h"
#include "../tools/soak_plan.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill::soak;
using namespace std::chrono_literals;

// Each promise, broken once: the soak's checks must tell.
TEST_GROUP(SoakOracle)
{
    Oracle oracle {{}, {{"blue", {10, 5}}}};

    SentRequest order(const std::string &id, Time sentAt = 10'000)
    {
        return {id, "d1#1", "POST", "/order/1", "red-key", "red", true, false, 0, sentAt};
    }
    SentRequest probe(const std::string &id, unsigned version, Time sentAt)
    {
        return {id, "d1#1", "GET", "/v" + std::to_string(version) + "/x", "", "", true, true, version, sentAt};
    }
    static TargetRun runOf(const SentRequest &requestSent, const std::string &target = "t1")
    {
        return {requestSent.id, requestSent.method, requestSent.path, requestSent.team, target};
    }
    CallerResult answered(unsigned status, Time at = 10'050)
    {
        return {Ending::Answered, status, true, true, at};
    }
    void send(const SentRequest &requestSent, unsigned status, unsigned runs = 1)
    {
        oracle.requestSent(requestSent);
        for (unsigned number = 0; number < runs; ++number) {
            oracle.targetRan(runOf(requestSent));
        }
        oracle.requestEnded(requestSent.id, answered(status, requestSent.sentAt + 50));
    }
    void checkOnly(const std::string &rule)
    {
        oracle.finish();
        const auto violations = oracle.takeViolations();
        LONGS_EQUAL(rule.empty() ? 0 : 1, violations.size());
        if (!rule.empty()) {
            STRCMP_EQUAL(rule.c_str(), violations.front().rule.c_str());
        }
    }
};

TEST(SoakOracle, AGoodRequestBreaksNothing)
{
    send(order("a"), 200);
    checkOnly("");
}

TEST(SoakOracle, ARefusedOrderThatRan)
{
    send(order("a"), 503);
    checkOnly("REFUSED");
}

TEST(SoakOracle, ARefusedOrderThatRunsLater)
{
    send(order("a"), 429, 0);
    oracle.targetRan(runOf(order("a")));
    checkOnly("REFUSED");
}

TEST(SoakOracle, AnOrderThatRanTwice)
{
    send(order("a"), 502, 2);
    checkOnly("TWICE");
}

TEST(SoakOracle, ARunThatNobodyAskedFor)
{
    oracle.targetRan(runOf(order("a")));
    checkOnly("UNASKED");
}

TEST(SoakOracle, ARunOfAnotherTeam)
{
    oracle.requestSent(order("a"));
    TargetRun wrong = runOf(order("a"));
    wrong.team = "blue";
    oracle.targetRan(wrong);
    checkOnly("UNASKED");
}

TEST(SoakOracle, AnAnswerThatIsNotItsOwn)
{
    oracle.requestSent(order("a"));
    CallerResult requestEnded = answered(200);
    requestEnded.matchesRequest = false;
    oracle.requestEnded("a", requestEnded);
    checkOnly("MIXED");
}

TEST(SoakOracle, AKeyThatWorksTooLong)
{
    oracle.keyWithdrawn("red-key", 4000);
    send(order("in-time", 9000), 200);
    send(order("late", 9001), 200);
    checkOnly("KEY");
}

TEST(SoakOracle, AKeyOfNobody)
{
    SentRequest requestSent = order("a");
    requestSent.key = "wrong";
    requestSent.team = "";
    requestSent.mayRun = false;
    send(requestSent, 200);
    checkOnly("KEY");
}

TEST(SoakOracle, ATargetThatGetsWorkAfterItLeft)
{
    oracle.setLeavingTargets({{"t1", 8000}});
    send(order("in-time", 10'000), 200);
    send(order("late", 10'001), 200);
    checkOnly("DRAIN");
}

TEST(SoakOracle, ATargetThatCameBackMayGetWork)
{
    oracle.setLeavingTargets({{"t1", 8000}});
    oracle.setLeavingTargets({});
    send(order("a", 20'000), 200);
    checkOnly("");
}

TEST(SoakOracle, AConnectionThatEndsWithoutTheAnswerOfARun)
{
    oracle.requestSent(order("a"));
    oracle.targetRan(runOf(order("a")));
    CallerResult requestEnded = answered(0);
    requestEnded.ending = Ending::ClosedWithoutAnswer;
    oracle.requestEnded("a", requestEnded);
    checkOnly("LOST");
}

TEST(SoakOracle, ACutAtADisturbedDaemonIsExcused)
{
    oracle.requestSent(order("a"));
    oracle.targetRan(runOf(order("a")));
    CallerResult requestEnded = answered(0);
    requestEnded.ending = Ending::ClosedWithoutAnswer;
    requestEnded.undisturbed = false;
    oracle.requestEnded("a", requestEnded);
    checkOnly("");
}

TEST(SoakOracle, ARequestWithoutAnyAnswer)
{
    oracle.requestSent(order("a"));
    CallerResult requestEnded = answered(0);
    requestEnded.ending = Ending::TimedOut;
    oracle.requestEnded("a", requestEnded);
    checkOnly("SILENT");
}

TEST(SoakOracle, AGoodKeyThatIsDenied)
{
    send(order("a"), 401, 0);
    checkOnly("DENIED");
}

TEST(SoakOracle, ADocumentThatIsNotInForceInTime)
{
    oracle.documentAccepted(3, 5000);
    send(probe("in-time", 3, 7000), 404, 0);
    send(probe("late", 3, 7001), 404, 0);
    checkOnly("CONFIG");
}

TEST(SoakOracle, ADaemonThatGoesBackToAnOlderDocument)
{
    oracle.documentAccepted(3, 5000);
    send(probe("first", 3, 5100), 200);
    send(probe("second", 3, 5500), 404, 0);
    checkOnly("BACKWARDS");
}

TEST(SoakOracle, ARouteThatALaterDocumentDropped)
{
    oracle.documentAccepted(3, 5000);
    send(probe("first", 3, 5100), 200);
    oracle.documentAccepted(3 + Oracle::KeptVersions, 5400);
    send(probe("second", 3, 9000), 404, 0);
    checkOnly("");
}

TEST(SoakOracle, ATeamBeyondItsQuota)
{
    // (10 a second in 5 s and 5 of burst) with a tenth more and 20 beside: 80.
    for (int number = 0; number < 81; ++number) {
        SentRequest requestSent = order("a" + std::to_string(number), 10'000 + number);
        requestSent.team = "blue";
        send(requestSent, 200);
    }
    checkOnly("QUOTA");
}

TEST(SoakOracle, PlansAreTheSameForTheSameSeed)
{
    const auto plan = planFaults(7, 20s);
    CHECK(plan == planFaults(7, 20s));
    CHECK(plan != planFaults(8, 20s));
    CHECK(plan.size() > 20);
}
