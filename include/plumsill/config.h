#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Tuning constants of the daemon.
namespace plumsill::config
{
using namespace std::chrono_literals;

// Membership.
inline constexpr std::size_t MaxCellMembers = 48;
inline constexpr auto HeartbeatInterval = 1000ms;
inline constexpr auto ConfirmationLifetime = 3000ms;
inline constexpr auto ClockDriftMargin = 200ms;
inline constexpr auto MemberSuspectAfter = 4000ms;
inline constexpr auto MinRosterChangeDelay = 1000ms;
inline constexpr auto MaxRosterChangeDelay = 3000ms;
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
inline constexpr auto ImmediateAckAfter = 1500ms; ///< age of the newest majority heartbeat above which heartbeats are acknowledged immediately
inline constexpr auto ListedFlagDelay = 10'000ms;
inline constexpr std::size_t EpochHistory = 8;

// Team limits.
inline constexpr auto GrantLifetime = 500ms;
inline constexpr double MaxClockDrift = 0.001; ///< maximum error of a measured duration, as a share of it; clocks that are slewed stay below it
inline constexpr auto GrantExpiryMargin
    = 2ms; ///< an owner treats a grant as expired this much after its lifetime; covers the drift of two clocks over one lifetime, and rounding
inline constexpr auto WaitingTokenLifetime = 40ms; ///< for tokens granted to waiting requests; short, because such tokens are used on receipt or discarded
inline constexpr unsigned TeamParts = 8; ///< maximum number of parts that a team's token bucket is split into; each part is owned by one daemon
inline constexpr double MinPartBurst = 6.0; ///< tokens; a team whose burst is too small for two parts of this size has a single part
inline constexpr auto LimitsTick = 10ms;
inline constexpr auto GrantTimeout
    = 25ms; ///< time without an answer after which a token request is sent to the owner of the team's next part, or again if the team has a single part
inline constexpr auto OwnerSuspectTime = 1000ms;
inline constexpr unsigned MaxPartTries = 4;
inline constexpr unsigned MaxParallelGrantRequests = 4; ///< per team and daemon
inline constexpr auto MaxTokenWait = 300ms;
inline constexpr auto MaxOwnerWait = 600ms;
inline constexpr auto DemandOrderSlack = 1ms; ///< requests may reach an owner out of order by this much
inline constexpr double PrefetchReserveShare
    = 0.3; ///< share of a bucket part's burst that owners do not grant to prefetch requests, but keep for waiting requests
inline constexpr double PrefetchGrantShare = 0.5; ///< share of the tokens above the reserve that one prefetch request may get
inline constexpr double PrefetchMinRate = 3.0; ///< requests per second for one team at one daemon; below this rate no tokens are prefetched
inline constexpr auto PrefetchHorizon = 250ms;
inline constexpr auto PrefetchRefill = 30ms; ///< a new prefetch starts when the team's tokens held by the daemon (its allowance) will last for less than this
inline constexpr auto PrefetchPause = 50ms; ///< pause before the next prefetch after an owner granted no additional tokens
inline constexpr auto MaxStockAge = 350ms; ///< age after which the remaining tokens of a grant are returned to the owner
inline constexpr auto MaxStockIdleTime = 100ms; ///< time without requests of the team after which the remaining tokens of a grant are returned to the owner
inline constexpr auto DemandAverageTime = 1000ms;
inline constexpr auto MinGrantReportDelay = 10ms;
inline constexpr auto MaxGrantReportDelay = 200ms;
inline constexpr double GrantReportShare
    = 0.02; ///< a daemon reports a used grant to the owner after this fraction of burst / rate, the time in which the team's empty bucket fills
inline constexpr auto OverRatePause
    = 100ms; ///< pause before a daemon requests a team's tokens again after the owners of all asked parts of the team's bucket refused
inline constexpr auto OverRateSinglePartTime
    = 1000ms; ///< for this time after all asked owners refused, a daemon sends each token request to the owner of one part only
inline constexpr auto NoOwnerPause = 250ms; ///< pause before a daemon requests a team's tokens again after no owner of a part of the team's bucket answered
inline constexpr auto LimitsIdleTime = 10'000ms; ///< time after which an idle team's state is removed
inline constexpr auto LimitsChangeDelay = ConfirmationLifetime + ClockDriftMargin + GrantLifetime;

// Queue of requests that wait for a target.
inline constexpr double FairQuantum = 1.0; ///< cost that each team may use per round
inline constexpr double QueueCostMax = 16.0;
inline constexpr double QueueIntervalWeight = 0.05; ///< weight of a new sample in the moving average of the interval between served requests

// Requests that wait for a target, by priority.
inline constexpr double MinPriorityShare = 0.05; ///< share of the served work that each priority gets while requests of it wait
inline constexpr double LateAnswerShare = 0.2; ///< share of answers that may miss the objective if their request waited as long as it may
inline constexpr auto ServiceRateWindow = 2000ms; ///< time constant of the rate at which a service takes waiting work
inline constexpr double AssumedServiceWork = 4; ///< typical requests for which the rate that is assumed without a measurement counts
inline constexpr auto ArrivalRateTime = 2000ms; ///< time constant of the work that arrives at one priority
inline constexpr auto UrgentSlotTime = 100ms; ///< time within which an urgent request should find a free slot: a fifth of a short objective
inline constexpr double UrgentDeviations = 2; ///< standard deviations of urgent arrivals that a reserve of slots covers
inline constexpr auto TokenReserveTime = 500ms; ///< urgent requests of a team above its rate find tokens for what arrives within this time
inline constexpr double AboveRateFactor
    = 1.2; ///< demand of a team in parts of its rate beyond which it counts as above its rate; covers the noise of the demand
inline constexpr auto ShortageLogInterval = 200ms; ///< minimum time between two log lines on refusals at the queues of one service
inline constexpr double MinUrgentArrivals = 0.05; ///< urgent requests per UrgentSlotTime below which no slot is reserved
inline constexpr double MaxReservedShare = 0.5; ///< share of a service's slots, or of a team's burst, that may be reserved for urgent requests
inline constexpr double WorkSampleWeight = 0.02; ///< minimum weight of an answer in the mean work of its route
inline constexpr double MinWorkSamples = 5; ///< answers of a route before its work is told apart from that of a typical request
inline constexpr double MinWork = 0.125; ///< bounds of the work of a request, in typical requests of its service
inline constexpr double MaxWork = 8;

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
inline constexpr auto UrgentDigestInterval = 200ms; ///< used while there is evidence of failures
inline constexpr auto EjectionPermitLifetime = 2000ms;
inline constexpr auto EjectionBase = 5000ms;
inline constexpr auto EjectionMax = 120'000ms;
inline constexpr auto EjectionHistoryLifetime = 60'000ms; ///< each period of this length without an ejection halves the duration of the next ejection
inline constexpr auto SlowStart = 10'000ms;
inline constexpr double SlowStartWeight = 0.1;
inline constexpr auto ColdStartGrace = 10'000ms; ///< time after the start of a target in which slow answers are not counted
inline constexpr std::uint32_t TrialPerMille = 100;
inline constexpr auto EvidenceWindow = 3000ms; ///< time constant of the averages of recent failure and slowness shares
inline constexpr auto FailureAlarmDecayTime = 10'000ms; ///< time constant with which suspicion of failures decays
inline constexpr auto SlowAlarmDecayTime
    = 3000ms; ///< time constant with which suspicion of slowness decays; short, so that past slowness alone raises no alarm
inline constexpr auto UnreachableRecordLifetime = 15'000ms; ///< longer than AvoidanceMax, so that a dead target stays known as unreachable
inline constexpr auto LatencyWindow = 20'000ms; ///< time constant of the typical latency
inline constexpr auto DetectorRefreshInterval = 100ms;
inline constexpr auto MinSlowLimit = 10ms;
inline constexpr auto MaxTrialTime
    = 30'000ms; ///< a target that returns from an ejection is on trial; it passes the trial after this time if there is no other result
inline constexpr auto EvidenceSourceLifetime = 10'000ms;
inline constexpr unsigned UnansweredRequestsBeforeAvoidance = 3;
inline constexpr auto AvoidanceBase = 1000ms;
inline constexpr auto AvoidanceMax = 10'000ms;
inline constexpr auto LeavingAnnounceTime = 30'000ms;
inline constexpr std::size_t MaxLeavingTargetsPerHeartbeat = 16;
inline constexpr auto LeavingTargetLifetime = 30'000ms; ///< time for which a leaving target stays recorded after the platform's listing no longer shows it

// Store of the platform.
inline constexpr auto StoreCallTimeout = 2000ms;
inline constexpr auto WatchBookmarkInterval = 1000ms;
inline constexpr unsigned MaxMissedWatchBookmarks = 3;
inline constexpr double StoreCallsPerSecond = 10.0;
inline constexpr double StoreCallBurst = 40.0;
inline constexpr double OperatorCallsPerSecond = 20.0;
inline constexpr double OperatorCallBurst = 100.0;
inline constexpr unsigned WatchersPerCell = 3;

// Requests.
inline constexpr std::size_t MaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t DefaultBodyLimitBytes = 1024 * 1024;
inline constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxUnparsedAnswerBytes = 4 * MaxHeaderBytes; ///< bytes of a target that the parser waits to go on with
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
inline constexpr auto MaxTargetConnectionIdle = 30'000ms;
inline constexpr auto RetryAfterFailure = 1000ms;

// Scheduling within a zone. Costs are in lost requests: 1 is the cost of one request that is not served.
inline constexpr double FailureCost = 2.0; ///< cost of sending to a failing target: the request is lost, and so are others until the failure is known
inline constexpr double RepeatableShare = 0.4; ///< factor on FailureCost for requests that may be retried at another target
inline constexpr double OtherZoneCost
    = 0.25; ///< an eighth of FailureCost: accounts for cross-zone transfer and for the outcome being unknown to the scheduler of the target's zone
inline constexpr double LargeAnswerZoneCost
    = 0.25; ///< added for an answer of a large route: exceeds RefusedCost in the sum, so that a single refusal moves no large answer to another zone
inline constexpr double LoadCost = 0.04; ///< per request that already runs on the target, as all requests there are lost if it fails
inline constexpr double LastSlotCost = 0.1; ///< for the last free slot of a target: the next request would have to wait
inline constexpr double RefusedCost = 0.4; ///< for a target that has just refused a request
inline constexpr double ColdCost = 0.3; ///< for a target that has just started and works at half speed
inline constexpr double RetrialBonus
    = 1.5; ///< subtracted from the cost of a target that is due to be tried again; exceeds the cost of a target without evidence, so that it is chosen
inline constexpr double RetrialThreshold = 0.4; ///< failure probability below which a target without recent evidence is tried again
inline constexpr double RepeatableTrialShare = 0.7; ///< replaces RetrialThreshold and RiskyShare for requests that may be retried at another target
inline constexpr auto RetrialAfter = 1500ms; ///< below the 2 s within which each healthy target must get requests
inline constexpr double KeptConnectionBonus
    = 0.05; ///< subtracted for a target to which the daemon likely has an idle connection: the round trip of a new one, which may also fail
inline constexpr double SubsetBonus
    = 0.2; ///< subtracted for a target of the daemon's subset: exceeds the cost of its last slot, and is below that of a refusal, a cold start or another zone
inline constexpr double SubsetIdleBonus = 0.05; ///< added to SubsetBonus per second without a request, up to RetrialAfter, which evens out the work of a subset
inline constexpr double SubsetHeadroom = 1.25; ///< targets of a subset for each request of the daemon that runs at once
inline constexpr std::size_t MinSubsetSize = 2; ///< targets of a subset beyond that, so that one may fail and one be occupied
inline constexpr double SubsetCover = 1.5; ///< least mean number of subsets that a target is in, so that none is left to retrials
inline constexpr double SubsetShrinkMargin = 1.3; ///< a subset shrinks once it is larger than the demand needs by this factor
inline constexpr auto SubsetAdjustInterval = 500ms; ///< between two changes of a subset
inline constexpr auto SubsetLifetime = 10'000ms; ///< a daemon without requests for this time loses its subset
inline constexpr double RiskyShare = 0.5; ///< failure probability above which a request waits for another target, unless all usable targets are above it
inline constexpr double HedgeShare = 0.04; ///< a hedge may be sent once the attempt is older than all but this share of good answers
inline constexpr double OverdueShare = 0.03; ///< a request is overdue once less than this share of good answers takes longer than its age
inline constexpr double WaitingShare
    = 0.5; ///< an unanswered request counts as evidence against its target once less than this share of good answers takes longer than its age
inline constexpr auto BaselineUpdateInterval = 200ms;
inline constexpr double BaselineUpdateWeight = 0.02; ///< weight of one update, which gives a time constant of 10 s
inline constexpr double MinBaselineFailureShare = 0.03;
inline constexpr double MaxBaselineFailureShare = 0.3; ///< failure estimates decay to the baseline; above this bound no target would be tried again
inline constexpr auto EvidenceLifetime = 2000ms;
inline constexpr auto OverdueInterval = 20ms;
inline constexpr auto ColdStartSlack = 300ms; ///< additional time before a hedge, for answers of a target that has just started
inline constexpr auto RefusalBackoff = 60ms; ///< about a quarter of the typical service time, after which a slot is likely free again
inline constexpr unsigned MaxRelayedRequests = 32; ///< requests of other daemons that run through one helper; each takes two connections of it
inline constexpr auto UnreachableAvoidance = 5000ms;
inline constexpr auto UnlistedAvoidance
    = 2000ms; ///< by then a live target whose entry expired is listed again, and a departed one isn't listed by the hub either
inline constexpr std::size_t DoubtedConnects
    = 3; ///< different targets that a daemon can't connect to, without an answer meanwhile, before its paths are doubted
inline constexpr auto EvidenceDoubtTime
    = 1500ms; ///< evidence of a daemon that is taken back once it is found to be cut off: an overdue request, and the probes that follow it
inline constexpr auto RemoteLoadLifetime = 1000ms; ///< time for which the loads reported by another scheduler count: three digests
inline constexpr std::uint8_t MinReportedFailingPercent = 12;
inline constexpr auto ReconcileAfter = 500ms; ///< well above a round trip within a zone
inline constexpr auto MinRetryAfter = 100ms;
inline constexpr double RepeatMargin
    = 0.9; ///< factor on the bound on repeats (retries and hedges); the margin covers repeats that are sent while a daemon changes to another scheduler
inline constexpr double RepeatFloorShare = 0.1; ///< repeats that each less urgent priority may use for each one that a more urgent one uses
inline constexpr double RepeatHedgeMargin = 1.5; ///< factor on the expected retries for which repeats are kept from hedges; covers the error of the estimate
inline constexpr auto RepeatShortTime = 2000ms; ///< the repeats of a service are short until none was refused for this time
inline constexpr auto RetryAfterEnd
    = 20ms; ///< a daemon asks for a retry as soon as a target has refused the attempt before; covers the delay of both datagrams

// Zone scheduler (the hub of a zone): connections, placement and heartbeats.
inline constexpr std::size_t ScheduledConnections
    = 8; ///< maximum number of connections from one daemon to one target; the number of running requests is limited by the scheduler
inline constexpr auto ScheduledConnectTimeout = 300ms; ///< a hundred times the longest delay between zones
inline constexpr std::size_t MaxPipelined = 16; ///< maximum number of requests that run in parallel for one caller's connection
inline constexpr unsigned MaxNotRunAttempts
    = 3; ///< attempts that do not count towards the limit of a request, because the target refused it or could not be reached
inline constexpr auto PlacementReplyTimeout = 40ms; ///< a hundred times the round trip within a zone; doubled with each repetition
inline constexpr unsigned MaxUnansweredPlacementRequests = 3; ///< with their timeouts, 280 ms: a third of a usual latency objective
inline constexpr auto MemberHeartbeatInterval = 250ms; ///< a quarter of the 1 s after which an unresponsive scheduler is to be replaced
inline constexpr unsigned MaxUnansweredHeartbeats = 3;
inline constexpr unsigned MaxUnresponsiveHubs = 2; ///< unresponsive schedulers after which a daemon places a request by itself
inline constexpr auto UnresponsiveHubProbeInterval = 1000ms;
inline constexpr unsigned MaxMissedDigests = 6;
inline constexpr auto MemberRecordLifetime = 10'000ms;
inline constexpr double MinReportedDemand = 0.05; ///< requests per second of a team; lower demand is not reported
inline constexpr double UnenrolledShare
    = 0.005; ///< share of a team's rate that a daemon grants while the size of the fleet is unknown: the share of one daemon in a fleet of 200
inline constexpr auto HubDigestInterval = 300ms;
inline constexpr auto SchedulerWarmUpTime = 2000ms; ///< time in which a new scheduler reads the registry and receives digests from all other schedulers
inline constexpr unsigned TokenReportRepeats = 4; ///< each count of tokens is reported in this many heartbeats, so that three of them may be lost
inline constexpr std::uint32_t MaxReportedTokens
    = 50; ///< maximum plausible increase of a daemon's token count between two reports, above what it grants in one second. Larger ones are ignored
inline constexpr auto LimitReportInterval = 1000ms; ///< a daemon places few requests by itself, and its part of a target's limit is small
inline constexpr auto UnlistedStateLifetime = 60s;
inline constexpr auto SuspectReportInterval = 1000ms;
inline constexpr auto HubDigestLifetime = 1500ms;
inline constexpr auto MemberLifetime = 1500ms; ///< six heartbeats
inline constexpr auto HubActiveTime
    = 2000ms; ///< a daemon that is not the elected hub still acts as scheduler for this time after the last message from a member
inline constexpr auto DocumentReadInterval = 500ms; ///< a quarter of the time within which a change must be in force
inline constexpr auto DocumentFetchSpread
    = 300ms; ///< members fetch a new document from their hub at random times within this period, so that the hub can place requests meanwhile
inline constexpr std::uint32_t RelayedDocumentBytes
    = 2'000'000; ///< members read a larger one from the store; 90 copies of this size, packed to a fifth, take 3 s of 100 Mbit/s
inline constexpr unsigned DocumentFetchTries = 2; ///< attempts to fetch a document from a hub before it is read from the store
inline constexpr auto TargetsReadInterval = 500ms; ///< a quarter of the time within which a leaving target must stop getting requests
inline constexpr auto RegistryFollowInterval
    = 10'000ms; ///< minimum time between registry reads after a change; long, since a new daemon serves callers before the others know it
inline constexpr auto FleetRegistryInterval = 4000ms;
inline constexpr auto NewerListMargin = 500ms; ///< covers the age of a hub's last message; a daemon whose target list was read more than this after the hub's
                                               ///< may know changes that the hub does not
inline constexpr auto RegistryReadInterval = 2000ms;
inline constexpr auto RelayedProofMaxAge
    = 1300ms; ///< covers the intervals of a read, a digest and a heartbeat; a daemon without a newer proof of freshness reads from the store
inline constexpr auto ListSourceMaxAge
    = 900ms; ///< covers the intervals of a read and a lost digest; a daemon whose list is older also requests it from a daemon other than its last source
inline constexpr auto RelayedListMaxAge
    = 1200ms; ///< covers the intervals of a read, a digest and a heartbeat; a daemon without a newer list reads from the store itself
inline constexpr auto ProofAfterPause = 250ms; ///< time in which a daemon that has stood still gets a new proof: a heartbeat or a read, and its answer
inline constexpr auto QueueServeInterval = 20ms;
inline constexpr auto FleetStartTime = 400ms; ///< time in which all daemons of a starting fleet enroll
inline constexpr auto SecretCreationSpread = 300ms; ///< time over which the daemons of a starting fleet spread their attempts to create its secret
inline constexpr auto RegistrationRetry = 500ms;
inline constexpr auto MinRewriteSpread = 1000ms;
inline constexpr double RewritesPerSecond = 50; ///< entries that a fleet writes again in a second after a new era of the store
inline constexpr auto RewriteMargin
    = 8000ms; ///< covers the time until all daemons know of an era, RegistryReadInterval, repeats of a refused write and stale reads
inline constexpr auto SecretReturnTime = 5000ms; ///< time in which a fleet notices that the store has lost its secret and writes it again
inline constexpr auto DirectoryCallTimeout = 1200ms; ///< three times the answer time of a service that is slowed down a hundredfold

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

// Limits of the instance.
inline constexpr double LinkPayloadShare = 0.95; ///< part of the link's rate that carries answers; the rest is taken by the headers of packets
inline constexpr double HeldBytesShare = 0.25; ///< part of the instance's memory that may hold bytes of callers and targets
inline constexpr std::size_t LargeBytes = 32 * 1024; ///< bodies from this size on are paced, and refused or streamed when memory is short
inline constexpr double SmallRequestsShare = 0.25; ///< part of the bytes that may be held which large requests leave to small ones
inline constexpr std::size_t LargeAnswerReserve = 256 * 1024; ///< bytes that must be free when a request of large answers is taken
inline constexpr std::size_t RequestBodyCopies = 4; ///< copies of a request's body while it is sent: of the caller, the attempts, one attempt, and on the wire
inline constexpr auto PacedChunkTime = 10ms; ///< time that one part of a large answer takes on the link; small answers wait at most twice as long
inline constexpr auto PacedAhead = 10ms; ///< the next part is granted this long before the link is free, so that a late timer leaves no gap
inline constexpr std::size_t MinPacedChunkBytes = 4 * 1024;
inline constexpr std::size_t MaxPacedChunkBytes = 256 * 1024;
inline constexpr double MinPacedShare = 0.1; ///< part of the link that large answers have while small ones fill it
inline constexpr auto MaxLinkBacklog = 1000ms; ///< half of a usual deadline
inline constexpr double AnswerSizeWeight = 0.1; ///< weight of one answer in the typical size of its route

// Traffic threads.
inline constexpr auto AcceptRetryDelay = 50ms;
inline constexpr auto LimitCheckInterval = 500ms;
inline constexpr auto CloseDrainTime = 500ms;
inline constexpr std::size_t ReadBytes = 16 * 1024;
inline constexpr std::size_t MaxIgnoredBytes = 256 * 1024; ///< maximum number of bytes that are read and discarded after the last request of a connection
inline constexpr auto TrafficReportInterval = 250ms;
inline constexpr auto ConcurrencyDecreaseInterval = 100ms;
inline constexpr double ConcurrencyDecrease = 0.8;
inline constexpr std::size_t MaxQueuedRequests = 256;

// Graceful shutdown.
inline constexpr auto LingerTime = 3000ms;
inline constexpr int StopAnswerPercent
    = 87; ///< after this percentage of the stop grace, the daemon itself ends the requests that still run and answers their callers
inline constexpr int StopLingerPercent = 45; ///< connections accept requests for this percentage of the stop grace, but for LingerTime at most
inline constexpr int StopTakePercent = 50; ///< requests that arrive later than after this percentage of the stop grace, or after LingerTime, are refused
inline constexpr auto ShutdownLimit = 60'000ms;

// Supervisor tree.
inline constexpr auto RestartDelay = 100ms;
inline constexpr auto RestartDelayMax = 10'000ms;
inline constexpr auto RestartWindow = 60'000ms;
inline constexpr std::size_t MaxRestarts = 10;

// Peer messages (datagrams and streams).
inline constexpr std::size_t MaxDatagramBytes = 1400;
inline constexpr std::size_t SignatureBytes = 16;
inline constexpr std::size_t MaxStreamMessageBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxPeerStreams = 64;
inline constexpr auto PeerRequestTimeout = 3000ms;
inline constexpr std::size_t MaxTunnels = 400; ///< tunnels of other daemons through this one, idle ones included; two descriptors each
inline constexpr auto TunnelCheckInterval = 500ms;
inline constexpr auto TunnelIdleTime = 45'000ms; ///< longer than an idle connection is kept by the daemon that uses the tunnel
inline constexpr auto PeerAcceptBackoff = 100ms;
}
