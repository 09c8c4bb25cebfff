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
inline constexpr auto HeartbeatInterval = 1000ms;
inline constexpr auto ConfirmationLifetime = 3000ms;
inline constexpr auto ClockDriftMargin = 200ms;
inline constexpr auto MemberSuspectAfter = 4000ms;
inline constexpr auto RosterChangeDelayMin = 1000ms;
inline constexpr auto RosterChangeDelayMax = 3000ms;
inline constexpr auto RosterChangeRankStep = 200ms;
inline constexpr auto RosterPollInterval = 2000ms;
inline constexpr auto RosterFetchTimeout = 1000ms;
inline constexpr auto MemberRemoveAfter = 5000ms;
inline constexpr auto DelistedAfter = 5000ms;
inline constexpr auto NeverListedAfter = 60'000ms;
inline constexpr auto HandOverRepeat = 200ms;
inline constexpr auto HandOverRepeatFor = 3000ms;
inline constexpr auto CandidateLifetime = 3000ms;
inline constexpr auto PeerRecordLifetime = 60'000ms;
inline constexpr auto AnswerNowAfter = 1500ms;
inline constexpr auto ListedFlagDelay = 10'000ms;
inline constexpr std::size_t EpochHistory = 8;

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
inline constexpr auto OwnerWaitMax = 600ms;
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
inline constexpr std::size_t MaxChunkBytes = 500'000;
inline constexpr std::size_t MaxDocumentBytes = 256 * 1024 * 1024;
inline constexpr std::size_t MaxHistoryEntries = 50;
inline constexpr auto ChangeTimeout = 10'000ms;
inline constexpr auto ChangeRetryInterval = 100ms;
inline constexpr auto StaleReadTimeout = 500ms;
inline constexpr auto DocumentFetchRetry = 500ms;

// Target health.
inline constexpr auto HealthDigestInterval = 500ms;
inline constexpr auto UrgentDigestInterval = 200ms; ///< with bad evidence
inline constexpr auto EjectionPermitLifetime = 2000ms;
inline constexpr auto EjectionBase = 5000ms;
inline constexpr auto EjectionMax = 120'000ms;
inline constexpr auto EjectionHistoryLifetime = 60'000ms; ///< without a new ejection the next one is half as long
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
inline constexpr auto EvidenceSourceLifetime = 10'000ms;
inline constexpr unsigned UnansweredRequestsBeforeAvoidance = 3;
inline constexpr auto AvoidanceBase = 1000ms;
inline constexpr auto AvoidanceMax = 10'000ms;
inline constexpr auto LeavingAnnounceTime = 30'000ms;
inline constexpr std::size_t MaxLeavingTargetsPerHeartbeat = 16;
inline constexpr auto LeavingTargetLifetime = 30'000ms; ///< once the list no longer shows the target

// Platform's service.
inline constexpr auto StoreCallTimeout = 2000ms;
inline constexpr auto WatchBookmarkInterval = 1000ms;
inline constexpr unsigned WatchBookmarksMissed = 3;
inline constexpr double StoreCallsPerSecond = 10.0;
inline constexpr double StoreCallBurst = 40.0;
inline constexpr double OperatorCallsPerSecond = 20.0;
inline constexpr double OperatorCallBurst = 100.0;
inline constexpr unsigned WatchersPerCell = 3;

// Requests.
inline constexpr std::size_t MaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t DefaultBodyLimitBytes = 1024 * 1024;
inline constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxBufferedAnswerBytes = 1024 * 1024;
inline constexpr auto HeaderTimeout = 10'000ms;
inline constexpr auto BodyTimeout = 30'000ms;
inline constexpr auto IdleTimeout = 60'000ms;
inline constexpr auto DefaultRouteTimeout = 5000ms;
inline constexpr auto ConnectTimeout = 1000ms;
inline constexpr auto FreshConnectionAge = 2000ms;
inline constexpr double RetryBudgetShare = 0.1;
inline constexpr double InitialRetries = 5;
inline constexpr unsigned MaxAttempts = 3;
inline constexpr unsigned MaxConnectionsPerTarget = 6;
inline constexpr auto IdleTargetConnection = 30'000ms;
inline constexpr auto RetryAfterFailure = 1000ms;

// Scheduling within a zone. Costs are in requests: one is what a request that isn't served costs its caller.
inline constexpr double FailureCost = 2.0; ///< of a failing target: its request is lost, and others follow it until that is known
inline constexpr double RepeatableShare = 0.4; ///< of the failure's cost where another target can be tried
inline constexpr double OtherZoneCost = 0.25; ///< an eighth of a lost request: bytes between zones, and news of the target that its own scheduler misses
inline constexpr double LoadCost = 0.04; ///< of each request that runs on the target: it is lost too if the target fails
inline constexpr double LastSlotCost = 0.1; ///< the next request would have to wait
inline constexpr double RefusedCost = 0.4; ///< of a target that refused work a moment ago
inline constexpr double ColdCost = 0.3; ///< of a target that has just started and works at half speed
inline constexpr double RetrialBonus = 1.5; ///< above what an unknown target costs
inline constexpr double RetrialThreshold = 0.4; ///< belief below which a target without news is tried again
inline constexpr double RepeatableTrialShare = 0.7; ///< the same for requests that can be tried elsewhere
inline constexpr auto RetrialAfter = 1500ms; ///< below the 2 s in which each sound target is to get requests
inline constexpr double KeptConnectionBonus = 0.03; ///< price of a new connection
inline constexpr double RiskyShare = 0.5; ///< belief above which a request waits for another target
inline constexpr double HedgeShare = 0.04; ///< of good answers that are still to come when a second target is asked
inline constexpr double OverdueShare = 0.03; ///< of good answers that take longer than an overdue request
inline constexpr double WaitingShare = 0.5; ///< of good answers that are still to come where a request's age begins to speak against its target
inline constexpr auto BaselineUpdateInterval = 200ms;
inline constexpr double BaselineUpdateWeight = 0.02; ///< of one look: ten seconds' memory
inline constexpr double MinBaselineFailureShare = 0.03;
inline constexpr double MaxBaselineFailureShare = 0.3; ///< above it nothing would be tried again
inline constexpr auto EvidenceLifetime = 2000ms;
inline constexpr auto OverdueInterval = 20ms;
inline constexpr auto ColdStartSlack = 300ms; ///< longer answers of a target that has just started
inline constexpr auto FullPause = 60ms; ///< about a quarter of the usual work: then a slot is likely free again
inline constexpr auto UnreachableAvoidance = 5000ms;
inline constexpr auto RemoteLoadLifetime = 1000ms; ///< three digests
inline constexpr std::uint8_t MinReportedFailingPercent = 12;
inline constexpr auto ReconcileAfter = 500ms; ///< well above a round trip within a zone
inline constexpr auto MinRetryAfter = 100ms;
inline constexpr double RepeatMargin = 0.9; ///< kept below the bound for repeats that cross a change of scheduler

// Talk between daemons and their zone's scheduler.
inline constexpr std::size_t ScheduledConnections = 8; ///< of one daemon to one target; the scheduler counts the slots
inline constexpr auto ScheduledConnectTimeout = 300ms; ///< a hundred times the longest way between zones
inline constexpr std::size_t MaxPipelined = 16; ///< requests of one caller's connection at once
inline constexpr unsigned MaxNotRunAttempts = 3; ///< further targets in place of those that refused or could not be reached
inline constexpr auto PlacementReplyTimeout = 40ms; ///< a hundred times the round trip within a zone
inline constexpr unsigned MaxUnansweredPlacementRequests = 2;
inline constexpr auto MemberHeartbeatInterval = 250ms; ///< four in the second after which a silent scheduler is to be replaced
inline constexpr unsigned MaxUnansweredHeartbeats = 3;
inline constexpr unsigned MaxUnresponsiveHubs = 2; ///< silent schedulers before a daemon places a request by itself
inline constexpr auto UnresponsiveHubProbeInterval = 1000ms;
inline constexpr unsigned MaxMissedDigests = 6;
inline constexpr auto MemberRecordLifetime = 10'000ms;
inline constexpr double MinReportedDemand = 0.05; ///< requests a second of a team; less is not told
inline constexpr double UnenrolledShare = 0.005; ///< of a rate, where the size of the fleet isn't known; one daemon of 200
inline constexpr auto HubDigestInterval = 300ms;
inline constexpr auto SchedulerWarmUpTime = 2000ms; ///< a read of the registry and some digests: then all other schedulers were heard
inline constexpr unsigned TokenReportRepeats = 4; ///< of which three may be lost
inline constexpr std::uint32_t MaxReportedTokens = 50; ///< more than a daemon gives out by itself in a second
inline constexpr auto HubDigestLifetime = 1500ms;
inline constexpr auto MemberLifetime = 1500ms; ///< six beats
inline constexpr auto HubActiveTime = 2000ms; ///< after the last word of a member
inline constexpr auto DocumentReadInterval = 500ms; ///< a quarter of the time in which a change is to be in force
inline constexpr std::uint32_t RelayedDocumentBytes = 100'000; ///< 30 copies leave a link of 50 Mbit/s within half a second
inline constexpr auto TargetsReadInterval = 500ms; ///< a quarter of the time in which a leaving target is to get nothing more
inline constexpr auto RegistryFollowInterval = 10'000ms; ///< a daemon that joins serves callers before the others know it
inline constexpr auto FleetRegistryInterval = 4000ms;
inline constexpr auto NewerListMargin = 500ms; ///< a beacon's age: a list that is newer by more shows what the scheduler can't know
inline constexpr auto RegistryReadInterval = 2000ms;
inline constexpr auto RelayedProofMaxAge = 1300ms; ///< a read, a digest and a heartbeat in turn; without proof for longer a daemon reads by itself
inline constexpr auto ListSourceMaxAge = 900ms; ///< a read and a digest that was lost; an older list is asked of another daemon than before
inline constexpr auto RelayedListMaxAge = 1200ms; ///< the same for the list of targets
inline constexpr auto QueueServeInterval = 20ms;
inline constexpr auto FleetStartTime = 400ms; ///< in which all daemons of a fleet that starts have enrolled
inline constexpr auto RegistrationRetry = 500ms;
inline constexpr auto DirectoryCallTimeout = 1200ms; ///< three times the answers of a service that is slowed a hundredfold

// Administration.
inline constexpr std::size_t MaxAdminBodyBytes = 64 * 1024 * 1024;

// Burn report.
inline constexpr auto BurnFineStep = 5s;
inline constexpr auto BurnFineRange = 1h;
inline constexpr auto BurnCoarseStep = 5min;
inline constexpr auto BurnCoarseRange = 72h;
inline constexpr std::size_t MaxBurnSeries = 512;
inline constexpr double DefaultObjective = 0.999;

// Control thread.
inline constexpr auto ControlTick = 100ms;
inline constexpr auto PublishInterval = 1000ms;
inline constexpr auto ListIntervalWatcher = 1000ms;
inline constexpr auto ListInterval = 10'000ms;
inline constexpr auto StoreBackoffMin = 200ms;
inline constexpr auto StoreBackoffMax = 10'000ms;

// Traffic threads.
inline constexpr auto AcceptRetryDelay = 50ms;
inline constexpr auto LimitCheckInterval = 500ms;
inline constexpr auto CloseDrainTime = 500ms;
inline constexpr std::size_t ReadBytes = 16 * 1024;
inline constexpr std::size_t MaxIgnoredBytes = 256 * 1024; ///< sent behind a request that closes the connection
inline constexpr auto TrafficReportInterval = 250ms;
inline constexpr auto ConcurrencyDecreaseInterval = 100ms;
inline constexpr double ConcurrencyDecrease = 0.8;
inline constexpr std::size_t MaxQueuedRequests = 256;

// Graceful shutdown.
inline constexpr auto LingerTime = 3000ms;
inline constexpr int AnswerPart = 87; ///< per cent of the time to stop after which requests that still run are answered
inline constexpr int LingerPart = 45; ///< per cent of the time to stop in which connections still take requests
inline constexpr auto ShutdownLimit = 60'000ms;

// Supervisor tree.
inline constexpr auto RestartDelay = 100ms;
inline constexpr auto RestartDelayMax = 10'000ms;
inline constexpr auto RestartWindow = 60'000ms;
inline constexpr std::size_t MaxRestarts = 10;

// Peer datagrams.
inline constexpr std::size_t MaxDatagramBytes = 1400;
inline constexpr std::size_t SignatureBytes = 16;
inline constexpr std::size_t MaxStreamMessageBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxPeerStreams = 64;
inline constexpr auto PeerRequestTimeout = 3000ms;
inline constexpr auto PeerAcceptBackoff = 100ms;
}
