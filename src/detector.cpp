#include <plumsill/config.h>
#include <plumsill/detector.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace plumsill
{
using namespace std::chrono_literals;

namespace
{
// Maximum baseline share of bad requests. If the baseline is higher, the fault affects the complete service, and the test
// can't single out a target.
constexpr double MaxBaselineShare = 0.25;
// The share of bad requests at the other targets is an estimate with an error. The baseline is therefore BaselineMargin
// times their median share plus SpreadMargin times the spread of the shares.
constexpr double BaselineMargin = 1.5;
constexpr double SpreadMargin = 3;
// Shares of targets with fewer recent requests are too noisy for the baseline.
constexpr double MinRecentRequests = 4;
// Number of recent answers from which the latency of a target contributes to the slow limit.
constexpr double MinLatencyAnswers = 8;
// Upper bound of the cumulative sums as a multiple of the alarm threshold. A higher sum would give no further information,
// but would take longer to fall below the threshold after a recovery.
constexpr double SumLimit = 1.15;
// An alarm needs evidence from more than one group of senders: without the group that contributes most, the sum of the other
// groups must still reach this share of the alarm threshold.
constexpr double CorroborationShare = 0.25;
// Share of the alarm threshold from which a target counts as affected, when the detector checks whether a fault is
// service-wide.
constexpr double ServiceWideAlarmShare = 0.33;
// During a service-wide fault a target on trial can't be compared with the others. Each of its requests then counts towards
// its recovery with this log-likelihood ratio.
constexpr double ServiceWideRecoveryPerRequest = 0.2;

struct ThresholdsOfPolicy {
    // Alarm: if the true share of bad requests equals the baseline share, about one request in exp(alarm) raises a false
    // alarm (Wald's bound on the run length of the cumulative sum). The shares of healthy targets are far below
    // baselineShare, which makes false alarms far rarer.
    DetectorThresholds operator()(const FewFalseEjections &) const
    {
        return {
            .baselineShare = 0.02, .errorShare = 0.2, .slowShare = 0.75, .slowFactor = 5, .alarm = 16, .recovered = 3, .errorTime = 400ms, .slowTime = 1500ms};
    }
    DetectorThresholds operator()(const FastDetection &) const
    {
        return {
            .baselineShare = 0.02, .errorShare = 0.15, .slowShare = 0.75, .slowFactor = 5, .alarm = 14, .recovered = 3, .errorTime = 300ms, .slowTime = 1300ms};
    }
};

template<class Count>
void addSaturated(Count &sum, unsigned part)
{
    sum = static_cast<Count>(std::min<unsigned>(std::numeric_limits<Count>::max(), sum + part));
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}
}

void countOverdue(TargetEvidence &evidence)
{
    addSaturated(evidence.slow, 1);
}

void countAnswer(TargetEvidence &evidence, AnswerKind kind, Duration latency, Duration slowAfter, bool countedSlow)
{
    switch (kind) {
    case AnswerKind::Good:
        addSaturated(evidence.good, 1);
        evidence.logLatencySum += static_cast<float>(std::log(std::max(seconds(latency), 1e-6)));
        if (slowAfter > Duration::zero() && !countedSlow) {
            addSaturated(latency > slowAfter ? evidence.slow : evidence.fast, 1);
        }
        break;
    case AnswerKind::Error:
        addSaturated(evidence.errors, 1);
        break;
    case AnswerKind::Timeout:
        addSaturated(evidence.timeouts, 1);
        break;
    case AnswerKind::Truncated:
        addSaturated(evidence.truncated, 1);
        break;
    case AnswerKind::Shed:
        addSaturated(evidence.shed, 1);
        break;
    case AnswerKind::Unreachable:
        addSaturated(evidence.unreachable, 1);
        break;
    }
}

void addEvidence(TargetEvidence &sum, const TargetEvidence &part)
{
    addSaturated(sum.good, part.good);
    addSaturated(sum.fast, part.fast);
    addSaturated(sum.slow, part.slow);
    addSaturated(sum.errors, part.errors);
    addSaturated(sum.timeouts, part.timeouts);
    addSaturated(sum.truncated, part.truncated);
    addSaturated(sum.shed, part.shed);
    addSaturated(sum.unreachable, part.unreachable);
    sum.logLatencySum += part.logLatencySum;
}

DetectorThresholds thresholdsOf(const HealthPolicy &policy)
{
    return std::visit(ThresholdsOfPolicy {}, policy);
}

std::string toString(UnhealthyCause cause)
{
    switch (cause) {
    case UnhealthyCause::Errors:
        return "errors";
    case UnhealthyCause::Slowness:
        return "slowness";
    case UnhealthyCause::Unreachable:
        return "unreachable";
    }
    return {};
}

void Detector::FadingCounts::fade(TimePoint now, Duration window)
{
    if (now <= at) {
        return;
    }
    const double decay = std::exp(-seconds(now - at) / seconds(window));
    ok *= decay;
    bad *= decay;
    at = now;
}

void Detector::FadingCounts::add(double moreOk, double moreBad, TimePoint now, Duration window)
{
    fade(now, window);
    ok += moreOk;
    bad += moreBad;
}

double Detector::FadingCounts::share() const
{
    return ok + bad > 0 ? bad / (ok + bad) : 0;
}

void Detector::CumulativeSum::add(const std::string &group, double ratio, double limit)
{
    sinceRestart += ratio;
    raw = std::clamp(raw + ratio, 0.0, limit);
    rateLimited = std::min(rateLimited, raw);
    double &part = byGroup[group];
    part = std::clamp(part + ratio, 0.0, limit);
}

void Detector::CumulativeSum::clear()
{
    raw = 0;
    rateLimited = 0;
    byGroup.clear();
}

// Requests that wait in the same queue are late together, so a burst of bad ones carries little more information than a
// single one. The sum that is compared with the alarm, `rateLimited`, therefore follows the raw sum at a limited rate. Good
// requests that arrive before it has caught up lower the raw sum, and with it the excess that has not yet counted.
void Detector::CumulativeSum::advance(double decay, double maxRise)
{
    raw *= decay;
    rateLimited = std::min(raw, rateLimited + maxRise);
    for (auto &[group, part] : byGroup) {
        part *= decay;
    }
}

double Detector::CumulativeSum::sumWithoutHighestGroup() const
{
    double sum = 0;
    double worst = 0;
    for (const auto &[group, part] : byGroup) {
        sum += part;
        worst = std::max(worst, part);
    }
    return sum - worst;
}

Detector::Detector(const HealthPolicy &policy)
    : m_thresholds(thresholdsOf(policy))
{ }

void Detector::setPolicy(const HealthPolicy &policy)
{
    m_thresholds = thresholdsOf(policy);
}

void Detector::setTargets(const std::vector<TargetName> &targets, TimePoint now)
{
    const std::set<TargetName> listed(targets.begin(), targets.end());
    std::erase_if(m_targets, [&](const auto &entry) { return !listed.contains(entry.first); });
    for (const auto &name : listed) {
        const auto [place, added] = m_targets.try_emplace(name);
        // Only targets that are added after the first listing are cold. Targets of the first listing may have been running
        // for a long time, and if all of them were cold, there would be no target to evaluate.
        if (added && m_hasFirstListing) {
            place->second.coldUntil = now + config::ColdStartGrace;
        }
    }
    m_hasFirstListing = true;
}

// Senders of evidence are grouped by zone, as a network cut between zones affects all senders of a zone alike. If all
// senders are in one zone, such a cut can't be recognized, and each sender is a group of its own.
std::string Detector::groupOf(const EvidenceSource &source) const
{
    return m_zones > 1 ? source.zone.value : source.member.name.value;
}

void Detector::recordSource(const EvidenceSource &source, TimePoint now)
{
    const auto [place, added] = m_sources.insert_or_assign(source.member, std::pair(source.zone, now));
    if (added) {
        removeExpiredSources(now);
    }
}

void Detector::removeExpiredSources(TimePoint now)
{
    std::erase_if(m_sources, [&](const auto &entry) { return now - entry.second.second > config::EvidenceSourceLifetime; });
    std::set<ZoneName> zones;
    for (const auto &[member, seen] : m_sources) {
        zones.insert(seen.first);
    }
    m_zones = zones.size();
}

void Detector::refresh(TimePoint now)
{
    if (m_refreshedAt && now - *m_refreshedAt < config::DetectorRefreshInterval) {
        return;
    }
    const double age = m_refreshedAt ? seconds(now - *m_refreshedAt) : 0;
    advanceSums(&TargetRecord::errors, age, config::FailureAlarmDecayTime, m_thresholds.errorTime);
    advanceSums(&TargetRecord::slowness, age, config::SlowAlarmDecayTime, m_thresholds.slowTime);
    advanceSums(&TargetRecord::connections, age, config::FailureAlarmDecayTime, m_thresholds.errorTime);
    m_refreshedAt = now;
    removeExpiredSources(now);
    refreshBaseline(&TargetRecord::errors, now);
    refreshBaseline(&TargetRecord::slowness, now);
    refreshBaseline(&TargetRecord::connections, now);
    refreshSlowLimit(now);
}

void Detector::advanceSums(TestField field, double age, Duration window, Duration alarmTime)
{
    const double decay = std::exp(-age / seconds(window));
    const double maxRise = m_thresholds.alarm * age / seconds(alarmTime);
    for (auto &[name, record] : m_targets) {
        (record.*field).sum.advance(decay, maxRise);
    }
}

// The baseline of each target derives from the median share of the other targets. An unhealthy target is therefore found
// even if up to half of the others are unhealthy too.
void Detector::refreshBaseline(TestField field, TimePoint now)
{
    std::vector<std::pair<double, Test *>> shares;
    for (auto &[name, record] : m_targets) {
        Test &test = record.*field;
        test.recent.fade(now, config::EvidenceWindow);
        test.baseline = 0;
        if (test.recent.ok + test.recent.bad >= MinRecentRequests) {
            shares.emplace_back(test.recent.share(), &test);
        }
    }
    if (shares.size() < 2) {
        return;
    }
    std::sort(shares.begin(), shares.end());
    const double center = shares[(shares.size() - 1) / 2].first;
    std::vector<double> distances;
    distances.reserve(shares.size());
    for (const auto &[share, test] : shares) {
        distances.push_back(std::abs(share - center));
    }
    const double spread = median(distances);
    for (std::size_t rank = 0; rank < shares.size(); ++rank) {
        const std::size_t middle = (shares.size() - 2) / 2;
        shares[rank].second->baseline = BaselineMargin * shares[middle < rank ? middle : middle + 1].first + SpreadMargin * spread;
    }
}

void Detector::refreshSlowLimit(TimePoint now)
{
    std::vector<double> means;
    for (auto &[name, record] : m_targets) {
        record.latency.fade(now, config::LatencyWindow);
        if (record.latency.ok >= MinLatencyAnswers && !cold(name, now)) {
            means.push_back(record.latency.bad / record.latency.ok);
        }
    }
    if (!means.empty()) {
        m_slowAfter = std::max<Duration>(config::MinSlowLimit, fromSeconds(m_thresholds.slowFactor * std::exp(median(means))));
    }
}

// Adds the log-likelihood ratio of the sample for an unhealthy against a typical target. The model is that each request is
// bad with a fixed probability, which is higher at an unhealthy target.
void Detector::addSample(Test &test, const Sample &sample, double unhealthyShare, const std::string &group, TimePoint now) const
{
    test.recent.add(sample.ok, sample.bad, now, config::EvidenceWindow);
    const double baseline = std::max(m_thresholds.baselineShare, test.baseline);
    if (baseline > MaxBaselineShare) {
        test.sum.clear();
        test.sum.sinceRestart -= ServiceWideRecoveryPerRequest * (sample.ok + sample.bad);
        return;
    }
    const double unhealthy = baseline + unhealthyShare * (1 - baseline);
    const double ratio = sample.bad * std::log(unhealthy / baseline) + sample.ok * std::log((1 - unhealthy) / (1 - baseline));
    test.sum.add(group, ratio, SumLimit * m_thresholds.alarm);
}

void Detector::recordReachability(TargetRecord &record, const TargetEvidence &evidence, const std::string &group, TimePoint now)
{
    if (evidence.good + evidence.errors + evidence.truncated + evidence.shed > 0) {
        record.lastAnswerAt = now;
        record.lastUnreachableByGroup.clear();
    } else if (evidence.unreachable > 0) {
        record.lastUnreachableByGroup[group] = now;
    }
}

void Detector::add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now)
{
    const auto place = m_targets.find(evidence.target);
    if (place == m_targets.end()) {
        return;
    }
    recordSource(source, now);
    refresh(now);
    TargetRecord &record = place->second;
    const std::string group = groupOf(source);
    const double answered = evidence.good + evidence.errors + evidence.truncated + evidence.shed;
    const Sample errors {double(evidence.good), double(evidence.errors + evidence.timeouts + evidence.truncated)};
    addSample(record.errors, errors, m_thresholds.errorShare, group, now);
    addSample(record.connections, {answered, double(evidence.unreachable)}, m_thresholds.errorShare, group, now);
    if (!cold(evidence.target, now)) {
        addSample(record.slowness, {double(evidence.fast), double(evidence.slow)}, m_thresholds.slowShare, group, now);
        record.latency.add(evidence.good, evidence.logLatencySum, now, config::LatencyWindow);
    }
    recordReachability(record, evidence, group, now);
}

void Detector::restart(const TargetName &target)
{
    const auto place = m_targets.find(target);
    if (place == m_targets.end()) {
        return;
    }
    for (const TestField field : {&TargetRecord::errors, &TargetRecord::slowness, &TargetRecord::connections}) {
        Test &test = place->second.*field;
        test.sum.clear();
        test.sum.sinceRestart = 0;
        test.recent = {};
    }
}

// A second group of senders must corroborate the alarm. Otherwise one failing network path could eject a target that
// serves all other daemons.
bool Detector::alarmed(const Test &test) const
{
    if (test.sum.rateLimited < m_thresholds.alarm) {
        return false;
    }
    return m_sources.size() < 2 || test.sum.sumWithoutHighestGroup() >= CorroborationShare * m_thresholds.alarm;
}

bool Detector::serviceWide(TestField field) const
{
    std::size_t affected = 0;
    std::size_t evaluated = 0;
    for (const auto &[name, record] : m_targets) {
        const Test &test = record.*field;
        evaluated += test.recent.ok + test.recent.bad > 1 ? 1 : 0;
        affected += test.sum.rateLimited >= ServiceWideAlarmShare * m_thresholds.alarm ? 1 : 0;
    }
    return evaluated > 1 && 2 * affected > evaluated;
}

void Detector::appendUnhealthy(TestField field, UnhealthyCause cause, std::vector<UnhealthyTarget> &found) const
{
    if (serviceWide(field)) {
        return;
    }
    for (const auto &entry : m_targets) {
        const bool known
            = std::any_of(found.begin(), found.end(), [&](const UnhealthyTarget &unhealthyTarget) { return unhealthyTarget.target == entry.first; });
        if (!known && alarmed(entry.second.*field)) {
            found.push_back({entry.first, cause, score(entry.first)});
        }
    }
}

std::vector<UnhealthyTarget> Detector::unhealthy() const
{
    std::vector<UnhealthyTarget> found;
    appendUnhealthy(&TargetRecord::connections, UnhealthyCause::Unreachable, found);
    appendUnhealthy(&TargetRecord::errors, UnhealthyCause::Errors, found);
    appendUnhealthy(&TargetRecord::slowness, UnhealthyCause::Slowness, found);
    std::stable_sort(found.begin(), found.end(), [](const UnhealthyTarget &a, const UnhealthyTarget &b) { return a.score > b.score; });
    return found;
}

TrialResult Detector::trialResult(const TargetName &target) const
{
    const auto place = m_targets.find(target);
    if (place == m_targets.end()) {
        return TrialResult::Open;
    }
    const TargetRecord &record = place->second;
    const double errors = record.errors.sum.sinceRestart;
    const double slowness = record.slowness.sum.sinceRestart;
    const double worst = std::max({errors, slowness, record.connections.sum.sinceRestart});
    if (worst >= m_thresholds.recovered) {
        return TrialResult::StillUnhealthy;
    }
    const bool latencyKnown = m_slowAfter > Duration::zero();
    const double higher = latencyKnown ? std::max(errors, slowness) : errors;
    return higher <= -m_thresholds.recovered ? TrialResult::Recovered : TrialResult::Open;
}

double Detector::score(const TargetName &target) const
{
    const auto place = m_targets.find(target);
    if (place == m_targets.end()) {
        return 0;
    }
    const TargetRecord &record = place->second;
    return std::max({record.errors.recent.share(), record.slowness.recent.share(), record.connections.recent.share()});
}

bool Detector::cold(const TargetName &target, TimePoint now) const
{
    const auto place = m_targets.find(target);
    return place != m_targets.end() && place->second.coldUntil && now < *place->second.coldUntil;
}

bool Detector::unreachable(const TargetName &target, TimePoint now) const
{
    const auto place = m_targets.find(target);
    if (place == m_targets.end()) {
        return false;
    }
    const TargetRecord &record = place->second;
    if (record.lastAnswerAt && now - *record.lastAnswerAt <= config::EvidenceWindow) {
        return false;
    }
    const auto recent = [&](const auto &entry) { return now - entry.second <= config::UnreachableRecordLifetime; };
    const auto groups = std::count_if(record.lastUnreachableByGroup.begin(), record.lastUnreachableByGroup.end(), recent);
    return groups > 0 && static_cast<std::size_t>(groups) >= std::min<std::size_t>(2, m_sources.size());
}
}
