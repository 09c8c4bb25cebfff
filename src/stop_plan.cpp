#include <plumsill/stop_plan.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
// Part of the grace that is reserved for the last writes before the platform ends the process: a tenth, but for MaxStopMargin at most.
constexpr Duration MaxStopMargin = std::chrono::milliseconds(300);
constexpr int StopMarginPercent = 10;

// Time from the decision to end the running requests until their answers are written: the next check of the connections, and the writes.
constexpr Duration AnswerTime = config::TrafficReportInterval + std::chrono::milliseconds(50);
}

StopPlan stopPlan(Duration grace)
{
    const auto percent = [grace](int share) { return grace * share / 100; };
    StopPlan plan;
    plan.stopBy = grace - std::min<Duration>(MaxStopMargin, percent(StopMarginPercent));
    plan.answerBy = std::max<Duration>(std::min<Duration>(percent(config::StopAnswerPercent), plan.stopBy - AnswerTime), Duration::zero());
    plan.takeBy = std::min<Duration>({config::LingerTime, percent(config::StopTakePercent), plan.answerBy});
    plan.closeAt = std::min<Duration>({config::LingerTime, percent(config::StopLingerPercent), plan.takeBy});
    return plan;
}
}
