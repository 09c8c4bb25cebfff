#include <plumsill/quarantine.h>

#include <plumsill/config.h>

#include <algorithm>
#include <array>

namespace plumsill
{
namespace
{
constexpr std::size_t CrashesToQuarantine = 3;
constexpr std::size_t MaxKeptCrashes = 16;
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxReported = 4 * SuspectRequests::MaxRequests;
// Times of other daemons are known only to the delay of their messages.
constexpr auto ClockTolerance = std::chrono::milliseconds(250);
// The first trial begins at once and clears requests that were only running beside the cause. The later ones find out whether
// the service has been mended; there are fewer of them than copies of a crashing request may still reach targets.
constexpr std::array TrialPauses {std::chrono::seconds(0), std::chrono::seconds(60), std::chrono::seconds(3600)};
constexpr auto TrialTime = std::chrono::seconds(1);
constexpr auto SuspectLifetime = std::chrono::minutes(10);
constexpr auto AnswerLifetime = std::chrono::seconds(30);

std::uint32_t millisecondsSince(TimePoint time, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - time, Duration::zero())).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(age, SuspectRequest::Never - 1));
}
}

bool Quarantine::Suspect::quarantined() const
{
    return crashes.size() >= CrashesToQuarantine;
}

TimePoint Quarantine::Suspect::changedAt() const
{
    TimePoint newest = answeredAt.value_or(TimePoint());
    for (const auto &[target, at] : crashes) {
        newest = std::max(newest, at);
    }
    return newest;
}

std::vector<Quarantine::Suspects::const_iterator> Quarantine::bySuspicion() const
{
    std::vector<Suspects::const_iterator> ordered;
    for (auto entry = m_suspects.begin(); entry != m_suspects.end(); ++entry) {
        ordered.push_back(entry);
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &a, const auto &b) {
        const auto rank = [](const Suspect &suspect) { return std::pair(std::min(suspect.crashes.size(), CrashesToQuarantine), suspect.changedAt()); };
        return rank(a->second) > rank(b->second);
    });
    return ordered;
}

Quarantine::Suspect &Quarantine::suspect(const RequestDigest &digest)
{
    if (m_suspects.size() >= MaxSuspects && !m_suspects.contains(digest)) {
        m_suspects.erase(bySuspicion().back());
    }
    return m_suspects[digest];
}

bool Quarantine::addCrash(Suspect &suspect, std::uint32_t target, TimePoint at)
{
    if (suspect.answeredAt && at <= *suspect.answeredAt + ClockTolerance) {
        return false;
    }
    const auto known = suspect.crashes.find(target);
    if (known != suspect.crashes.end()) {
        known->second = std::min(known->second, at);
        return false;
    }
    return suspect.crashes.size() < MaxKeptCrashes && suspect.crashes.emplace(target, at).second;
}

bool Quarantine::clear(Suspect &suspect, TimePoint answeredAt)
{
    const auto before = suspect.crashes.size();
    std::erase_if(suspect.crashes, [answeredAt](const auto &crash) { return crash.second <= answeredAt + ClockTolerance; });
    if (suspect.crashes.size() == before) {
        return false;
    }
    suspect.answeredAt = suspect.answeredAt ? std::max(*suspect.answeredAt, answeredAt) : answeredAt;
    if (!suspect.quarantined()) {
        suspect.trials = 0;
    }
    return true;
}

bool Quarantine::recordCrash(const RequestDigest &digest, std::uint32_t target, TimePoint at, TimePoint /*now*/)
{
    return !digest.empty() && addCrash(suspect(digest), target, at);
}

bool Quarantine::recordAnswer(const RequestDigest &digest, TimePoint now)
{
    const auto found = m_suspects.find(digest);
    return found != m_suspects.end() && clear(found->second, now);
}

// The result doesn't depend on the order in which reports arrive: crashes add up, and the newest answer removes the older ones.
bool Quarantine::merge(const SuspectRequest &reported, TimePoint now)
{
    const auto at = [now](std::uint32_t age) { return now - std::chrono::milliseconds(age); };
    if (reported.digest.empty() || reported.crashes.size() > SuspectRequest::MaxCrashes) {
        return false;
    }
    const bool known = m_suspects.contains(reported.digest);
    if (!known && reported.crashes.empty()) {
        return false;
    }
    Suspect &merged = suspect(reported.digest);
    bool changed = reported.answeredMillisecondsAgo != SuspectRequest::Never && clear(merged, at(reported.answeredMillisecondsAgo));
    for (const auto &crash : reported.crashes) {
        changed = addCrash(merged, crash.target, at(crash.ageMilliseconds)) || changed;
    }
    if (merged.quarantined() && reported.trials > merged.trials) {
        merged.trials = reported.trials;
        merged.trialAt = at(reported.trialMillisecondsAgo);
        changed = true;
    }
    return changed;
}

bool Quarantine::beginTrial(const RequestDigest &digest, TimePoint now)
{
    const auto decision = check(digest, now);
    const auto *awaits = std::get_if<AwaitsTrial>(&decision);
    if (awaits == nullptr || !awaits->due) {
        return false;
    }
    Suspect &found = m_suspects.at(digest);
    ++found.trials;
    found.trialAt = now;
    return true;
}

QuarantineDecision Quarantine::check(const RequestDigest &digest, TimePoint now) const
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end() || !found->second.quarantined()) {
        return NotQuarantined {};
    }
    const Suspect &known = found->second;
    if (known.trials == 0) {
        return AwaitsTrial {true};
    }
    const bool crashedSince = std::any_of(known.crashes.begin(), known.crashes.end(), [&known](const auto &crash) { return crash.second > known.trialAt; });
    if (!crashedSince && now - known.trialAt < TrialTime) {
        return AwaitsTrial {false};
    }
    if (known.trials >= TrialPauses.size()) {
        return Quarantined {};
    }
    const TimePoint next = known.trialAt + TrialPauses.at(known.trials);
    return next <= now ? QuarantineDecision(AwaitsTrial {true}) : Quarantined {next - now};
}

SuspectRequest Quarantine::report(const RequestDigest &digest, const Suspect &suspect, TimePoint now)
{
    SuspectRequest reported;
    reported.digest = digest;
    for (const auto &[target, at] : suspect.crashes) {
        if (reported.crashes.size() < SuspectRequest::MaxCrashes) {
            reported.crashes.push_back({target, millisecondsSince(at, now)});
        }
    }
    if (suspect.answeredAt) {
        reported.answeredMillisecondsAgo = millisecondsSince(*suspect.answeredAt, now);
    }
    if (suspect.trials > 0) {
        reported.trials = suspect.trials;
        reported.trialMillisecondsAgo = millisecondsSince(suspect.trialAt, now);
    }
    return reported;
}

SuspectRequest Quarantine::report(const RequestDigest &digest, TimePoint now) const
{
    const auto found = m_suspects.find(digest);
    return found == m_suspects.end() ? SuspectRequest {digest, {}} : report(digest, found->second, now);
}

std::vector<SuspectRequests> Quarantine::reports(TimePoint now) const
{
    std::vector<SuspectRequests> messages;
    auto ordered = bySuspicion();
    ordered.resize(std::min(ordered.size(), MaxReported));
    for (const auto &entry : ordered) {
        if (messages.empty() || messages.back().requests.size() == SuspectRequests::MaxRequests) {
            messages.emplace_back();
        }
        messages.back().requests.push_back(report(entry->first, entry->second, now));
    }
    return messages;
}

std::vector<SuspectRequest> Quarantine::quarantinedRequests(TimePoint now) const
{
    std::vector<SuspectRequest> requests;
    for (const auto &entry : bySuspicion()) {
        if (entry->second.quarantined() && requests.size() < MaxReported) {
            requests.push_back(report(entry->first, entry->second, now));
        }
    }
    return requests;
}

std::size_t Quarantine::quarantined() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto &entry) { return entry.second.quarantined(); }));
}

// A quarantine has no end but an answer: a copy that comes hours later would crash targets again.
void Quarantine::expire(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &entry) {
        const Suspect &suspect = entry.second;
        const Duration lifetime = suspect.crashes.empty() ? Duration(AnswerLifetime) : Duration(SuspectLifetime);
        return !suspect.quarantined() && now - suspect.changedAt() > lifetime;
    });
}
}
