#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Tunables with their units, gathered in one place.
namespace plumsill::config
{
using namespace std::chrono_literals;

// Membership.
inline constexpr std::size_t MaxCellMembers = 48;
inline constexpr auto PulseInterval = 1000ms;
inline constexpr auto ConfirmationLifetime = 3000ms;
inline constexpr auto ClockDriftMargin = 200ms;
inline constexpr auto MemberSuspectAfter = 4000ms;
inline constexpr auto RosterChangeDelayMin = 1000ms;
inline constexpr auto RosterChangeDelayMax = 3000ms;

// Team limits.
inline constexpr auto GrantLifetime = 500ms;
inline constexpr unsigned TeamParts = 3;
inline constexpr auto TokenWaitMax = 300ms;

// Document.
inline constexpr auto DocumentTrustLifetime = 5000ms;
inline constexpr std::size_t MaxValueBytes = 1'000'000;

// Target health.
inline constexpr auto HealthDigestInterval = 500ms;
inline constexpr auto UrgentDigestInterval = 200ms; ///< with bad evidence
inline constexpr auto EjectionPermitLifetime = 2000ms;
inline constexpr auto EjectionBase = 5000ms;
inline constexpr auto EjectionMax = 120'000ms;
inline constexpr auto EjectionForgetAfter = 60'000ms; ///< without a new ejection the next one is half as long
inline constexpr auto SlowStart = 10'000ms;
inline constexpr double SlowStartWeight = 0.1;
inline constexpr auto ColdStartGrace = 10'000ms; ///< slowness of a new target isn't counted
inline constexpr std::uint32_t TrialPerMille = 100;
inline constexpr auto EvidenceWindow = 3000ms; ///< time constant of the recent shares
inline constexpr auto FailureSuspicionWindow = 10'000ms; ///< time constant in which suspicion of failures fades
inline constexpr auto SlowSuspicionWindow = 3000ms; ///< the same for slowness: old lateness alone raises no alarm
inline constexpr auto UnreachableMemory = 15'000ms; ///< longer than AvoidanceMax, so that a dead target stays known
inline constexpr auto LatencyWindow = 20'000ms; ///< time constant of the usual latency
inline constexpr auto DetectorRefreshInterval = 100ms;
inline constexpr auto MinSlowLimit = 10ms;
inline constexpr auto TrialMax = 30'000ms; ///< a trial without a result ends as passed
inline constexpr auto EvidenceSenderForgetAfter = 10'000ms;
inline constexpr unsigned SilentRequestsBeforeAvoidance = 3;
inline constexpr auto AvoidanceBase = 1000ms;
inline constexpr auto AvoidanceMax = 10'000ms;
inline constexpr auto LeavingAnnounceTime = 30'000ms;
inline constexpr std::size_t MaxLeavingInPulse = 16;
inline constexpr auto LeavingForgetAfter = 30'000ms; ///< once the list no longer shows the target

// Platform's service.
inline constexpr auto StoreCallTimeout = 2000ms;
inline constexpr auto WatchBookmarkInterval = 1000ms;
inline constexpr unsigned WatchBookmarksMissed = 3;
inline constexpr double StoreCallsPerSecond = 2.0;
inline constexpr double StoreCallBurst = 10.0;
inline constexpr unsigned WatchersPerCell = 3;

// Requests.
inline constexpr std::size_t MaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t DefaultBodyLimitBytes = 1024 * 1024;
inline constexpr std::size_t MaxBufferedAnswerBytes = 1024 * 1024;
inline constexpr auto HeaderTimeout = 10'000ms;
inline constexpr auto BodyTimeout = 30'000ms;
inline constexpr auto IdleTimeout = 60'000ms;
inline constexpr auto DefaultRouteTimeout = 5000ms;
inline constexpr auto ConnectTimeout = 1000ms;
inline constexpr auto FreshConnectionAge = 2000ms;
inline constexpr double RetryBudgetShare = 0.1;
inline constexpr unsigned MaxAttempts = 3;
inline constexpr unsigned MaxConnectionsPerTarget = 8;

// Graceful shutdown.
inline constexpr auto LingerTime = 3000ms;
inline constexpr auto ShutdownLimit = 60'000ms;

// Peer datagrams.
inline constexpr std::size_t MaxDatagramBytes = 1400;
inline constexpr std::size_t MacBytes = 16;
inline constexpr std::size_t MaxStreamMessageBytes = 64 * 1024 * 1024;
}
