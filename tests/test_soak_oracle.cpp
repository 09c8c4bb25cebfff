#include "../tools/soak_oracle.h"
#include "../tools/soak_plan.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill::soak;
using namespace std::chrono_literals;

// The soak's oracle checks the records of a run against the fleet's guarantees. Most tests violate one guarantee, which
// the oracle must report.
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
    static TargetRun runOf(const SentRequest &request, const std::string &target = "t1")
    {
        return {request.id, request.method, request.path, request.team, target};
    }
    CallerResult answered(unsigned status, Time at = 10'050)
    {
        return {Ending::Answered, status, true, true, at};
    }
    void send(const SentRequest &request, unsigned status, unsigned runs = 1)
    {
        oracle.requestSent(request);
        for (unsigned number = 0; number < runs; ++number) {
            oracle.targetRan(runOf(request));
        }
        oracle.requestEnded(request.id, answered(status, request.sentAt + 50));
    }
    void expectViolation(const std::string &rule)
    {
        oracle.finish();
        const auto violations = oracle.takeViolations();
        LONGS_EQUAL(rule.empty() ? 0 : 1, violations.size());
        if (!rule.empty()) {
            STRCMP_EQUAL(rule.c_str(), violations.front().rule.c_str());
        }
    }
};

TEST(SoakOracle, AValidRequestViolatesNothing)
{
    send(order("a"), 200);
    expectViolation("");
}

TEST(SoakOracle, ARefusedOrderThatRan)
{
    send(order("a"), 503);
    expectViolation("REFUSED");
}

TEST(SoakOracle, ARefusedOrderThatRunsLater)
{
    send(order("a"), 429, 0);
    oracle.targetRan(runOf(order("a")));
    expectViolation("REFUSED");
}

TEST(SoakOracle, AnOrderThatRanTwice)
{
    send(order("a"), 502, 2);
    expectViolation("TWICE");
}

TEST(SoakOracle, ARunWithoutARequest)
{
    oracle.targetRan(runOf(order("a")));
    expectViolation("UNASKED");
}

TEST(SoakOracle, ARunOfAnotherTeam)
{
    oracle.requestSent(order("a"));
    TargetRun run = runOf(order("a"));
    run.team = "blue";
    oracle.targetRan(run);
    expectViolation("UNASKED");
}

TEST(SoakOracle, AnAnswerOfAnotherRequest)
{
    oracle.requestSent(order("a"));
    CallerResult result = answered(200);
    result.matchesRequest = false;
    oracle.requestEnded("a", result);
    expectViolation("MIXED");
}

TEST(SoakOracle, AKeyAcceptedTooLongAfterItsWithdrawal)
{
    oracle.keyWithdrawn("red-key", 4000);
    send(order("in-time", 9000), 200);
    send(order("late", 9001), 200);
    expectViolation("KEY");
}

TEST(SoakOracle, AnUnknownKeyThatIsAccepted)
{
    SentRequest request = order("a");
    request.key = "wrong";
    request.team = "";
    request.mayRun = false;
    send(request, 200);
    expectViolation("KEY");
}

TEST(SoakOracle, ATargetThatGetsRequestsAfterItLeft)
{
    oracle.setLeavingTargets({{"t1", 8000}});
    send(order("in-time", 10'000), 200);
    send(order("late", 10'001), 200);
    expectViolation("DRAIN");
}

TEST(SoakOracle, ATargetThatReturnedMayGetRequests)
{
    oracle.setLeavingTargets({{"t1", 8000}});
    oracle.setLeavingTargets({});
    send(order("a", 20'000), 200);
    expectViolation("");
}

TEST(SoakOracle, AConnectionThatClosesBeforeTheAnswerOfARun)
{
    oracle.requestSent(order("a"));
    oracle.targetRan(runOf(order("a")));
    CallerResult result = answered(0);
    result.ending = Ending::ClosedWithoutAnswer;
    oracle.requestEnded("a", result);
    expectViolation("LOST");
}

TEST(SoakOracle, AClosedConnectionAtADisturbedDaemonIsAllowed)
{
    oracle.requestSent(order("a"));
    oracle.targetRan(runOf(order("a")));
    CallerResult result = answered(0);
    result.ending = Ending::ClosedWithoutAnswer;
    result.undisturbed = false;
    oracle.requestEnded("a", result);
    expectViolation("");
}

TEST(SoakOracle, ARequestWithoutAnyAnswer)
{
    oracle.requestSent(order("a"));
    CallerResult result = answered(0);
    result.ending = Ending::TimedOut;
    oracle.requestEnded("a", result);
    expectViolation("SILENT");
}

TEST(SoakOracle, AValidKeyThatIsDenied)
{
    send(order("a"), 401, 0);
    expectViolation("DENIED");
}

TEST(SoakOracle, ADocumentThatIsNotInForceInTime)
{
    oracle.documentAccepted(3, 5000);
    send(probe("in-time", 3, 7000), 404, 0);
    send(probe("late", 3, 7001), 404, 0);
    expectViolation("CONFIG");
}

TEST(SoakOracle, ADaemonThatRevertsToAnOlderDocument)
{
    oracle.documentAccepted(3, 5000);
    send(probe("first", 3, 5100), 200);
    send(probe("second", 3, 5500), 404, 0);
    expectViolation("BACKWARDS");
}

TEST(SoakOracle, ARouteThatALaterDocumentRemoved)
{
    oracle.documentAccepted(3, 5000);
    send(probe("first", 3, 5100), 200);
    oracle.documentAccepted(3 + Oracle::KeptVersions, 5400);
    send(probe("second", 3, 9000), 404, 0);
    expectViolation("");
}

TEST(SoakOracle, ATeamThatExceedsItsQuota)
{
    // The limit is 80.5 requests: 55 (10 requests/s over 5 s and a burst of 5), plus 10 %, plus a slack of 20.
    for (int number = 0; number < 81; ++number) {
        SentRequest request = order("a" + std::to_string(number), 10'000 + number);
        request.team = "blue";
        send(request, 200);
    }
    expectViolation("QUOTA");
}

TEST(SoakOracle, PlansAreTheSameForTheSameSeed)
{
    const auto plan = planFaults(7, 20s);
    CHECK(plan == planFaults(7, 20s));
    CHECK(plan != planFaults(8, 20s));
    CHECK(plan.size() > 20);
}
