#pragma once

#include <plumsill/clock.h>
#include <plumsill/quarantine_messages.h>

#include <cstddef>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Quarantine of requests that crash the targets that run them (queries of death). Daemons share what they know of suspect
/// requests; a request under which several targets ended is quarantined by all of them. A canary, one copy at a time, shows
/// whether it still crashes targets.
namespace plumsill
{
/// The request may run.
struct NotQuarantined {
    auto operator<=>(const NotQuarantined &) const = default;
};

/// The request waits for the result of a trial.
struct AwaitsTrial {
    bool due = false; ///< the trial hasn't begun; this copy may ask for it

    auto operator<=>(const AwaitsTrial &) const = default;
};

/// The request must not run.
struct Quarantined {
    Duration retryAfter {}; ///< time until its next trial; zero if there is none

    auto operator<=>(const Quarantined &) const = default;
};

using QuarantineDecision = std::variant<NotQuarantined, AwaitsTrial, Quarantined>;

/// The suspect requests that one daemon knows of. Their number is bounded; the least suspicious are forgotten first.
class Quarantine
{
public:
    /// The functions that record return true if that is new to this daemon, so that others have to be told.
    /// Records that a target ended at @p at while it ran the request. @p target: shortHash() of its name.
    bool recordCrash(const RequestDigest &digest, std::uint32_t target, TimePoint at, TimePoint now);
    /// Records a complete answer to a copy of the request, which shows that the request crashes no target.
    bool recordAnswer(const RequestDigest &digest, TimePoint now);
    /// Records what another daemon knows.
    bool merge(const SuspectRequest &reported, TimePoint now);
    /// Counts a trial; false if none is due.
    bool beginTrial(const RequestDigest &digest, TimePoint now);

    QuarantineDecision check(const RequestDigest &digest, TimePoint now) const;
    /// What to tell other daemons of one request.
    SuspectRequest report(const RequestDigest &digest, TimePoint now) const;
    /// The most suspicious requests, to be repeated to other daemons.
    std::vector<SuspectRequests> reports(TimePoint now) const;
    /// The quarantined requests, as they are kept in the directory.
    std::vector<SuspectRequest> quarantinedRequests(TimePoint now) const;
    std::size_t suspects() const { return m_suspects.size(); }
    std::size_t quarantined() const;
    /// Forgets what is too old.
    void expire(TimePoint now);

private:
    struct Suspect {
        std::map<std::uint32_t, TimePoint> crashes; ///< by target
        std::optional<TimePoint> answeredAt;
        unsigned trials = 0;
        TimePoint trialAt;

        bool quarantined() const;
        TimePoint changedAt() const;
    };
    using Suspects = std::map<RequestDigest, Suspect>;

    Suspect &suspect(const RequestDigest &digest);
    static bool addCrash(Suspect &suspect, std::uint32_t target, TimePoint at);
    static bool clear(Suspect &suspect, TimePoint answeredAt);
    static SuspectRequest report(const RequestDigest &digest, const Suspect &suspect, TimePoint now);
    std::vector<Suspects::const_iterator> bySuspicion() const;

    Suspects m_suspects;
};
}
