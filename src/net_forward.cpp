#include "parallel_attempts_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/beast/http.hpp>

#include <limits>
#include <random>

namespace plumsill
{
namespace http = boost::beast::http;

namespace
{
RequestDigest requestDigest(const Access &access, const CallerRequest &request)
{
    const auto view = [](boost::beast::string_view text) { return std::string_view(text.data(), text.size()); };
    return digestOf({access.team.value, view(request.method_string()), view(request[http::field::host]), view(request.target()), request.body()});
}
}

RequestState::RequestState(const boost::asio::any_io_executor &executor, AnswerOwnershipPtr ownership)
    : m_ownership(std::move(ownership))
    , m_wakeTimer(executor)
{ }

RequestState::~RequestState() = default;

void RequestState::setCallerDisconnected()
{
    m_callerDisconnected = true;
    m_targetWait.abandon();
    if (m_parallelAttempts) {
        m_parallelAttempts->close();
    }
    m_wakeTimer.cancel();
}

void RequestState::expire()
{
    if (!m_expired) {
        m_expired = true;
        m_targetWait.cancelWait();
        m_wakeTimer.cancel();
    }
}

Forwarder::Forwarder(TrafficThread &thread, const Access &access, const CallerRequest &request, const std::string &callerAddress, AnswerSinkPtr sink,
                     RequestState &state)
    : m_thread(thread)
    , m_access(access)
    , m_state(state)
    , m_start(RuntimeClock::now())
    , m_deadline(requestDeadline(access.route, request, thread.dialect(), m_start))
    , m_service(chooseService(access.route, std::uniform_real_distribution<double>(0, 1)(thread.random())))
    , m_digest(requestDigest(access, request))
    , m_attempts(access.route.idempotent, m_deadline,
                 {access.route.attempts, std::holds_alternative<ScheduledPlacement>(thread.placement()) ? config::MaxNotRunAttempts : 0})
    , m_unlimitedBudget(std::numeric_limits<double>::max())
{
    const AddedFields addedFields {thread.nextRequestId(), callerAddress, access.team};
    m_parallelAttempts
        = new ParallelAttempts(thread, access, m_service, requestForTarget(request, addedFields, thread.dialect()), std::move(sink), state.m_ownership);
    m_state.m_parallelAttempts = m_parallelAttempts;
}

Forwarder::~Forwarder()
{
    m_parallelAttempts->close();
    m_state.m_parallelAttempts.reset();
}

TrafficCounts &Forwarder::counts()
{
    return m_thread.report().counts[{m_service, m_access.team}];
}

ForwardResult Forwarder::refuse(const Refusal &refusal)
{
    m_reason = refusal.code;
    return refusalAnswer(refusal, m_thread.dialect());
}

ForwardResult Forwarder::giveUp(const GiveUp &answer)
{
    ++counts().bad;
    const char *message = answer.status == 504 ? "no answer in time" : "no target answered";
    return refuse({answer.status, answer.status == 504 ? "timeout" : "no-target", message, answer.outcome, answer.retryAfter});
}

boost::asio::awaitable<std::optional<Refusal>> Forwarder::admit()
{
    // Where the scheduler places requests, it also counts their tokens against the team's limit, so none is taken here.
    if (m_access.route.open || std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        co_return std::nullopt;
    }
    const TokenAnswer answer = co_await m_thread.acquireToken(m_access.team, m_deadline);
    if (answer.admitted) {
        co_return std::nullopt;
    }
    if (answer.reason == RefusalReason::NoOwner) {
        ++counts().ownerUnreachable;
        co_return Refusal {503, "limit-unreachable", "the team's limit cannot be asked at the moment", RunOutcome::NotRun, answer.retryAfter};
    }
    ++counts().overRate;
    co_return Refusal {429, "over-rate", "the team's rate is used up", RunOutcome::NotRun, answer.retryAfter};
}

std::optional<Refusal> Forwarder::checkMemory()
{
    if (!m_access.route.large || m_thread.memory().takesLarge(config::LargeAnswerReserve)) {
        return std::nullopt;
    }
    ++m_thread.report().limits.refusedForMemory;
    ++counts().bad;
    return memoryShort();
}

bool Forwarder::hedgeIsWorthIt(TimePoint now)
{
    if (!m_access.route.large) {
        return true;
    }
    const Duration copyTime = m_thread.link().timeFor(m_thread.answerSizes().typical(m_access.route.name));
    const bool worthIt = worthItsBytes({m_parallelAttempts->answerBegun(), copyTime, m_deadline - now});
    m_thread.report().limits.hedgesWithheld += worthIt ? 0 : 1;
    return worthIt;
}

boost::asio::awaitable<ForwardResult> Forwarder::run()
{
    if (!m_access.key.empty() && m_parallelAttempts->request().body().find(m_access.key) != std::string::npos) {
        co_return refuse({400, "key-outside-header", "a key stands outside its header", std::nullopt, {}});
    }
    if (const auto refusal = checkMemory()) {
        ForwardResult refused = refuse(*refusal);
        logEnd(refused);
        co_return refused;
    }
    if (const auto refusal = co_await admit()) {
        co_return refuse(*refusal);
    }
    ForwardResult result = co_await forward();
    m_parallelAttempts->close(); // before the answer waits for its turn: no other may begin from now on
    logEnd(result);
    co_return result;
}

boost::asio::awaitable<DispatchResult> Forwarder::acquire()
{
    DispatchRequest dispatchRequest;
    dispatchRequest.team = m_access.team;
    dispatchRequest.deadline = m_deadline;
    dispatchRequest.tried = m_tried;
    dispatchRequest.idempotent = m_access.route.idempotent;
    dispatchRequest.route = m_access.route.name;
    dispatchRequest.service = m_service;
    dispatchRequest.priority = m_access.priority;
    dispatchRequest.repeat = m_attempts.anySent() || m_parallelAttempts->running() > 0;
    dispatchRequest.admitted = m_placed;
    const Duration objective = m_access.route.objective > Duration::zero() ? m_access.route.objective : m_access.route.timeout;
    dispatchRequest.objective = std::min(m_deadline, m_start + objective);
    dispatchRequest.digest = m_digest;
    dispatchRequest.handle = &m_state.m_targetWait;
    if (std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        DispatchResult placed = co_await m_thread.place(dispatchRequest);
        co_return placed;
    }
    ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    if (dispatch == nullptr) {
        co_return NoTarget {};
    }
    if (m_tried.empty()) {
        dispatch->retries().deposit();
    }
    DispatchResult chosen = co_await dispatch->acquire(dispatchRequest);
    co_return chosen;
}

bool Forwarder::hasUntriedTarget() const
{
    if (std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        return true;
    }
    const ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    return dispatch != nullptr && dispatch->hasUntriedTarget(m_tried, m_access.route.idempotent);
}

void Forwarder::start(std::unique_ptr<TargetLease> lease)
{
    m_placed = true;
    m_tried.push_back(lease->name());
    m_endpoint = toString(lease->runtime().pool.endpoint());
    const bool hedge = lease->hedgeAfter() && m_attempts.mayHedge(static_cast<unsigned>(m_parallelAttempts->running()) + 1, RuntimeClock::now());
    m_hedgeAt = hedge ? std::optional(RuntimeClock::now() + *lease->hedgeAfter()) : std::nullopt;
    m_parallelAttempts->start(std::move(lease), m_attempts, hasUntriedTarget(), m_deadline, m_state.m_wakeTimer, m_state.m_targetWait);
}

boost::asio::awaitable<ForwardResult> Forwarder::forward()
{
    while (true) {
        const TimePoint waitStartedAt = RuntimeClock::now();
        DispatchResult choice = co_await acquire();
        m_placementTime += RuntimeClock::now() - waitStartedAt;
        if (m_state.callerDisconnected()) {
            co_return AbortCaller {};
        }
        if (!m_parallelAttempts->ownership().open()) {
            choice = NoTarget {}; // releases the target at once
        }
        const bool noOtherAttempt = m_parallelAttempts->running() == 0 && !m_parallelAttempts->hasEnded();
        if (const auto *none = std::get_if<NoTarget>(&choice)) {
            if (noOtherAttempt) {
                co_return answerWithoutTarget(*none);
            }
            m_hedgeAt.reset();
        } else if (auto refusal = recheckAccess(*m_thread.snapshot(), m_access, RuntimeClock::now())) {
            // The key may have been withdrawn while the request waited for a target.
            if (noOtherAttempt) {
                refusal->outcome = m_attempts.outcome();
                refusal->status = m_attempts.outcome() == RunOutcome::NotRun || refusal->status != 503 ? refusal->status : 502;
                co_return refuse(*refusal);
            }
            m_hedgeAt.reset();
        } else {
            start(std::move(std::get<std::unique_ptr<TargetLease>>(choice)));
        }
        if (auto end = co_await waitForNextStep()) {
            co_return std::move(*end);
        }
        ++m_thread.report().retries;
    }
}

boost::asio::awaitable<std::optional<ForwardResult>> Forwarder::waitForNextStep()
{
    while (true) {
        if (m_state.callerDisconnected()) {
            co_return AbortCaller {};
        }
        if (const auto entry = m_parallelAttempts->takeEnded()) {
            if (!m_parallelAttempts->ownership().counts(entry->number)) {
                continue;
            }
            const auto *failed = std::get_if<FailedAttempt>(&*entry->result);
            if (failed != nullptr && failed->failed.failure == AttemptFailure::HelperUnavailable) {
                std::erase(m_tried, entry->lease->name()); // the target may be reached through another helper
            }
            if (auto end = handleAttemptEnd(*entry->result)) {
                co_return std::move(end);
            }
            if (m_parallelAttempts->running() == 0) {
                co_return std::nullopt;
            }
            continue;
        }
        const TimePoint now = RuntimeClock::now();
        const bool open = m_parallelAttempts->ownership().open();
        if (m_state.m_expired && open) {
            co_return giveUp({504, m_attempts.outcomeWith(m_parallelAttempts->running()), {}});
        }
        if (m_hedgeAt && now >= *m_hedgeAt) {
            m_hedgeAt.reset();
            if (open && hedgeIsWorthIt(now)) {
                co_return std::nullopt;
            }
        }
        boost::system::error_code cancelled;
        m_state.m_wakeTimer.expires_at(m_hedgeAt.value_or(m_deadline + config::LimitCheckInterval));
        co_await m_state.m_wakeTimer.async_wait(errorInto(cancelled));
    }
}

// If a target has reported a failure, its answer is passed on, since it has more detail than one made by this daemon. A request above its team's rate that
// no target has run gets 429 instead.
ForwardResult Forwarder::answerWithoutTarget(const NoTarget &none)
{
    m_refusedFor = none.reason;
    if (none.overRate && m_attempts.outcome() == RunOutcome::NotRun) {
        ++counts().overRate;
        return refuse({429, "over-rate", "the team's rate is used up", RunOutcome::NotRun, none.retryAfter});
    }
    if (none.reason == CapacityReason::Quarantined) {
        ++counts().bad;
        const unsigned status = m_attempts.outcome() == RunOutcome::NotRun ? 503 : 502;
        return refuse({status, "quarantined", "copies of this request crashed several targets", m_attempts.outcome(), none.retryAfter});
    }
    if (m_lastFailure) {
        return passOn(std::move(*m_lastFailure));
    }
    GiveUp answer = m_attempts.noTarget(RuntimeClock::now());
    answer.retryAfter = none.retryAfter > Duration::zero() && answer.retryAfter > Duration::zero() ? none.retryAfter : answer.retryAfter;
    return giveUp(answer);
}

std::optional<ForwardResult> Forwarder::handleAttemptEnd(AttemptResult &result)
{
    if (auto *buffered = std::get_if<BufferedAnswer>(&result)) {
        return passOn(std::move(*buffered));
    }
    if (const auto *streamed = std::get_if<StreamedAnswer>(&result)) {
        ++counts().good;
        return *streamed;
    }
    auto &failed = std::get<FailedAttempt>(result);
    ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    RetryBudget &budget = dispatch == nullptr ? m_unlimitedBudget : dispatch->retries();
    if (failed.answer) {
        m_lastFailure = std::move(failed.answer);
    }
    const NextStep step = m_attempts.failed(failed.failed, hasUntriedTarget(), budget, RuntimeClock::now());
    if (std::holds_alternative<AbortCaller>(step)) {
        ++counts().bad;
        return AbortCaller {};
    }
    if (std::holds_alternative<TryAgain>(step) || m_parallelAttempts->running() > 0) {
        return std::nullopt;
    }
    if (std::holds_alternative<PassOn>(step) && m_lastFailure) {
        return passOn(std::move(*m_lastFailure));
    }
    if (std::holds_alternative<PassOn>(step)) {
        return answerWithoutTarget({true, config::RetryAfterFailure});
    }
    return giveUp(std::get<GiveUp>(step));
}

// To the caller, status 408, 421, 429 or 503 means that the request was not run. Where the dialect has a field by which targets report this (notExecuted),
// a target's answer with such a status but without the field does not show whether the request ran. The answer is then replaced by 502 with an unknown outcome.
ForwardResult Forwarder::passOn(BufferedAnswer buffered)
{
    TargetAnswer answer = std::move(buffered.answer);
    m_state.m_held = std::move(buffered.held);
    if (m_access.route.large) {
        m_thread.answerSizes().add(m_access.route.name, answer.body().size());
    }
    const unsigned status = answer.result_int();
    const bool claimsNotRun = status == 408 || status == 421 || status == 429 || status == 503;
    if (claimsNotRun && !m_thread.dialect().notExecuted.empty()) {
        return giveUp({502, RunOutcome::Unknown, {}});
    }
    removeHopByHopFields(answer);
    answer.version(11);
    const bool bodyless = m_parallelAttempts->request().method() == http::verb::head || status == 204 || status == 304;
    if (!bodyless) {
        answer.content_length(answer.body().size());
    }
    m_reason = "answered";
    if (status >= 500) {
        ++counts().bad;
        return answer;
    }
    ++counts().good;
    const auto [histogram, added] = m_thread.report().latency.try_emplace(m_service, makeLatencyHistogram());
    histogram->second(seconds(RuntimeClock::now() - m_start));
    return answer;
}

void Forwarder::logEnd(const ForwardResult &result) const
{
    if (!eventsEnabled()) {
        return;
    }
    const auto &request = m_parallelAttempts->request();
    const auto id = request.find(m_thread.dialect().requestId);
    const auto *answer = std::get_if<TargetAnswer>(&result);
    const auto &snapshot = *m_thread.snapshot();
    Event event("traffic", "request-ended");
    event.add("id", id == request.end() ? std::string_view() : std::string_view(id->value().data(), id->value().size()));
    event.add("digest", toString(m_digest)).add("route", m_access.route.name.value).add("service", m_service.value).add("team", m_access.team.value);
    event.add("status", static_cast<std::int64_t>(answer == nullptr ? 0 : answer->result_int()));
    event.add("reason", std::holds_alternative<AbortCaller>(result) ? std::string("caller-left-or-cut") : m_reason);
    event.add("attempts", static_cast<std::int64_t>(m_tried.size()));
    event.add("target", m_tried.empty() ? std::string() : m_tried.back().value);
    if (m_refusedFor) {
        event.add("refused_for", toString(*m_refusedFor));
    }
    event.add("endpoint", m_endpoint).add("placing_ms", m_placementTime);
    event.add("took_ms", RuntimeClock::now() - m_start).add("deadline_ms", m_deadline - m_start);
    event.add("document", static_cast<std::int64_t>(snapshot.compiled ? snapshot.compiled->stamp.version : 0));
    event.add("keys_left_ms", std::min<Duration>(snapshot.trustedUntil - RuntimeClock::now(), std::chrono::hours(1)));
}
}
