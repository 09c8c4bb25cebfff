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
inline constexpr double MaxClockDrift = 0.001; // share of a measured time; slewed clocks stay below it
inline constexpr auto GrantExpiryMargin = 2ms; // drift of two clocks over one lifetime, and rounding
inline constexpr auto WaitingTokenLifetime = 40ms; // of tokens for requests that wait: used on receipt or not at all
inline constexpr unsigned TeamParts = 8;
inline constexpr double MinPartBurst = 6.0; // tokens; a team with less than two parts of this size has one part
inline constexpr auto LimitsTick = 10ms;
inline constexpr auto GrantTimeout = 25ms; // then the next part's owner is asked
inline constexpr auto OwnerSuspectTime = 1000ms;
inline constexpr unsigned PartTriesMax = 4;
inline constexpr unsigned GrantRequestsAtOnce = 4; // of one team and daemon
inline constexpr auto TokenWaitMax = 300ms;
inline constexpr auto DemandOrderSlack = 1ms; // requests may reach an owner this much out of order
inline constexpr double PrefetchReserveShare = 0.3; // of a part's burst, kept for requests that wait
inline constexpr double PrefetchGrantShare = 0.5; // of what is above the reserve, for one request
inline constexpr double PrefetchMinRate = 3.0; // requests a second of one daemon and team
inline constexpr auto PrefetchHorizon = 250ms;
inline constexpr auto PrefetchRefill = 30ms; // asks again when less than this is left
inline constexpr auto PrefetchPause = 50ms; // after an owner had nothing to spare
inline constexpr auto StockAgeMax = 350ms; // then what is left is given back
inline constexpr auto StockIdleMax = 100ms; // without any demand
inline constexpr auto DemandAverageTime = 1000ms;
inline constexpr auto GrantReportDelayMin = 10ms;
inline constexpr auto GrantReportDelayMax = 200ms;
inline constexpr double GrantReportShare = 0.02; // of the time in which an empty bucket fills
inline constexpr auto OverRatePause = 100ms; // between rounds over the parts while all refuse
inline constexpr auto OverRateMemory = 1000ms; // in which only one part is asked in a round
inline constexpr auto NoOwnerPause = 250ms; // between rounds over the parts while none answers
inline constexpr auto LimitsIdleTime = 10'000ms; // then an idle team's state is dropped
inline constexpr auto LimitsChangeDelay = ConfirmationLifetime + ClockDriftMargin + GrantLifetime;

// Queue for targets.
inline constexpr double FairQuantum = 1.0; // cost that each team may use in one round
inline constexpr double QueueCostMax = 16.0;
inline constexpr double QueueIntervalWeight = 0.05; // of the newest time between two served requests

// Document.
inline constexpr auto DocumentTrustLifetime = 5000ms;
inline constexpr std::size_t MaxValueBytes = 1'000'000;

// Target health.
inline constexpr auto HealthDigestInterval = 500ms;
inline constexpr auto EjectionPermitLifetime = 2000ms;
inline constexpr auto EjectionBase = 5000ms;
inline constexpr auto EjectionMax = 120'000ms;
inline constexpr auto SlowStart = 10'000ms;

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
