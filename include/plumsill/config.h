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
inline constexpr std::size_t MaxChunkBytes = 500'000;
inline constexpr std::size_t MaxDocumentBytes = 256 * 1024 * 1024;
inline constexpr std::size_t MaxHistoryEntries = 50;
inline constexpr auto ChangeTimeout = 10'000ms;
inline constexpr auto ChangeRetryInterval = 100ms;
inline constexpr auto StaleReadPatience = 500ms;
inline constexpr auto DocumentFetchRetry = 500ms;

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
