#pragma once

#include <plumsill/request_digest.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Messages between daemons about requests that may crash targets.
namespace plumsill
{
/// A target that ended while it ran the request.
struct TargetCrash {
    std::uint32_t target = 0; ///< shortHash() of the target name
    std::uint32_t ageMilliseconds = 0;

    auto operator<=>(const TargetCrash &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, ageMilliseconds);
    }
};

/// What a daemon knows of a request that was running at targets when they ended.
struct SuspectRequest {
    static constexpr std::uint32_t Never = 0xffffffff;
    static constexpr std::size_t MaxCrashes = 4;

    RequestDigest digest;
    std::vector<TargetCrash> crashes; ///< at most MaxCrashes
    std::uint32_t answeredMillisecondsAgo = Never; ///< last complete answer after a crash
    std::uint32_t trials = 0; ///< trials that have begun
    std::uint32_t trialMillisecondsAgo = Never;

    auto operator<=>(const SuspectRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(digest, crashes, answeredMillisecondsAgo, trials, trialMillisecondsAgo);
    }
};

/// Suspect requests that the sender knows of.
struct SuspectRequests {
    static constexpr std::size_t MaxRequests = 12;

    std::vector<SuspectRequest> requests; ///< at most MaxRequests

    auto operator<=>(const SuspectRequests &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requests);
    }
};

/// Asks the granting daemon whether a copy of a quarantined request may run as its trial.
struct TrialRequest {
    std::uint64_t id = 0; ///< id of the copy at the sender
    SuspectRequest request;

    auto operator<=>(const TrialRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, request);
    }
};

struct TrialReply {
    std::uint64_t id = 0; ///< id of the TrialRequest
    bool granted = false;
    SuspectRequest request;

    auto operator<=>(const TrialReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, granted, request);
    }
};
}
