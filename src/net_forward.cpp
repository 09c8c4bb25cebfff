#include "parallel_attempts_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/beast/http.hpp>

#include <charconv>
#include <limits>
#include <random>

namespace plumsill
{
namespace http = boost::beast::http;

namespace
{
Refusal notTrusted()
{
    return {503, "keys-unconfirmed", "keys cannot be confirmed at the moment", RunOutcome::NotRun, config::RetryAfterFailure};
}

Refusal unknownKey()
{
    return {401, "unauthorized", "no key, or an unknown one", std::nullopt, {}};
}

std::vector<std::string_view> fieldValues(const CallerRequestHeader &header, std::string_view name)
{
    std::vector<std::string_view> values;
    const auto [begin, end] = header.equal_range(name);
    for (auto field = begin; field != end; ++field) {
        values.emplace_back(field->value());
    }
    return values;
}

// No key may reach a target, wherever the caller put it.
bool keyOutsideItsField(const KeyTable &keys, const CallerRequestHeader &header)
{
    if (keys.containsKnownKey(header.target())) {
        return true;
    }
    for (const auto &field : header) {
        const bool stripped = field.name() == http::field::authorization || boost::beast::iequals(field.name_string(), "X-Api-Key");
        if (!stripped && (keys.containsKnownKey(field.value()) || keys.containsKnownKey(field.name_string()))) {
            return true;
        }
    }
    return false;
}

AccessResult checkKey(const Snapshot &snapshot, const Route &route, const CallerRequestHeader &header, TimePoint now)
{
    const auto presence = presentedKey(fieldValues(header, "X-Api-Key"), fieldValues(header, "Authorization"));
    if (std::holds_alternative<AmbiguousKey>(presence)) {
        return Refusal {400, "ambiguous-key", "more than one key", std::nullopt, {}};
    }
    const auto *presented = std::get_if<PresentedKey>(&presence);
    if (route.open) {
        return Access {route, {}, presented == nullptr ? std::string() : presented->key, route.priority};
    }
    if (now >= snapshot.trustedUntil) {
        return notTrusted();
    }
    const TeamName *team = presented == nullptr ? nullptr : snapshot.compiled->keys.find(presented->key);
    if (team == nullptr) {
        return unknownKey();
    }
    if (!mayUse(route, *team)) {
        return Refusal {403, "forbidden", "the team may not use this route", std::nullopt, {}};
    }
    return Access {route, *team, presented->key, snapshot.compiled->priorityOf(*team).value_or(route.priority)};
}

std::string joined(const std::vector<std::string> &values)
{
    std::string text;
    for (const auto &value : values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}
}

AccessResult checkAccess(const Snapshot &snapshot, const CallerRequestHeader &header, TimePoint now)
{
    if (!snapshot.compiled) {
        return notTrusted();
    }
    const auto match = snapshot.compiled->routes.find(header[http::field::host], header.target(), header.method_string());
    if (std::holds_alternative<BadPath>(match)) {
        return Refusal {400, "bad-path", "the path is ambiguous", std::nullopt, {}};
    }
    if (const auto *other = std::get_if<MethodNotAllowed>(&match)) {
        return Refusal {405, "method-not-allowed", "allowed: " + joined(other->allowed), std::nullopt, {}};
    }
    const auto *found = std::get_if<RouteFound>(&match);
    if (found == nullptr) {
        return Refusal {404, "no-route", "no route for this host and path", std::nullopt, {}};
    }
    if (keyOutsideItsField(snapshot.compiled->keys, header)) {
        return Refusal {400, "key-outside-header", "a key stands outside its header", std::nullopt, {}};
    }
    return checkKey(snapshot, *found->route, header, now);
}

std::optional<Refusal> recheckAccess(const Snapshot &snapshot, const Access &access, TimePoint now)
{
    if (access.route.open) {
        return std::nullopt;
    }
    if (now >= snapshot.trustedUntil) {
        return notTrusted();
    }
    const TeamName *team = snapshot.compiled->keys.find(access.key);
    if (team == nullptr || *team != access.team) {
        return unknownKey();
    }
    return std::nullopt;
}

const ServiceName &chooseService(const Route &route, double point)
{
    double total = 0;
    for (const auto &part : route.split) {
        total += part.weight;
    }
    double left = point * total;
    const ServiceName *chosen = &route.service;
    for (const auto &part : route.split) {
        if (part.weight <= 0) {
            continue;
        }
        chosen = &part.service;
        left -= part.weight;
        if (left < 0) {
            break;
        }
    }
    return *chosen;
}

TimePoint requestDeadline(const Route &route, const CallerRequestHeader &header, const Dialect &dialect, TimePoint now)
{
    const auto field = header[dialect.deadline];
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    if (field.empty() || error != std::errc() || end != field.data() + field.size()) {
        return now + route.timeout;
    }
    return now + std::min<Duration>(route.timeout, std::chrono::milliseconds(milliseconds));
}

RequestTicket::RequestTicket(const boost::asio::any_io_executor &executor)
    : m_signal(executor)
{ }

RequestTicket::~RequestTicket() = default;

void RequestTicket::callerGone()
{
    m_callerGone = true;
    m_waiting.abandon();
    if (m_race) {
        m_race->close();
    }
    m_signal.cancel();
}

void RequestTicket::expire()
{
    if (!m_expired) {
        m_expired = true;
        m_waiting.interrupt();
        m_signal.cancel();
    }
}

Forwarder::Forwarder(TrafficThread &thread, const Access &access, const CallerRequest &request, const std::string &callerAddress, const AnswerSink *sink,
                     RequestTicket &ticket)
    : m_thread(thread)
    , m_access(access)
    , m_ticket(ticket)
    , m_start(RuntimeClock::now())
    , m_deadline(requestDeadline(access.route, request, thread.dialect(), m_start))
    , m_service(chooseService(access.route, std::uniform_real_distribution<double>(0, 1)(thread.random())))
    , m_attempts(access.route.idempotent, m_deadline,
                 {access.route.attempts, std::holds_alternative<ScheduledPlacement>(thread.placement()) ? config::MaxNotRunAttempts : 0})
    , m_scheduledBudget(std::numeric_limits<double>::max())
{
    const RequestMarks marks {thread.nextRequestId(), callerAddress, access.team};
    m_race = new RequestRace(thread, access, m_service, requestForTarget(request, marks, thread.dialect()), sink);
    m_ticket.m_race = m_race;
}

Forwarder::~Forwarder()
{
    m_race->close();
    m_ticket.m_race.reset();
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
    // The scheduler counts tokens where it places requests.
    if (m_access.route.open || std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        co_return std::nullopt;
    }
    const TokenAnswer answer = co_await m_thread.token(m_access.team, m_deadline);
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

boost::asio::awaitable<ForwardResult> Forwarder::run()
{
    if (!m_access.key.empty() && m_race->request().body().find(m_access.key) != std::string::npos) {
        co_return refuse({400, "key-outside-header", "a key stands outside its header", std::nullopt, {}});
    }
    if (const auto refusal = co_await admit()) {
        co_return refuse(*refusal);
    }
    ForwardResult result = co_await forward();
    logEnd(result);
    co_return result;
}

boost::asio::awaitable<DispatchResult> Forwarder::acquire()
{
    DispatchRequest wanted;
    wanted.team = m_access.team;
    wanted.deadline = m_deadline;
    wanted.tried = m_tried;
    wanted.idempotent = m_access.route.idempotent;
    wanted.route = m_access.route.name;
    wanted.service = m_service;
    wanted.priority = m_access.priority;
    wanted.repeat = !m_tried.empty();
    const Duration objective = m_access.route.objective > Duration::zero() ? m_access.route.objective : m_access.route.timeout;
    wanted.objective = std::min(m_deadline, m_start + objective);
    wanted.handle = &m_ticket.m_waiting;
    if (std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        DispatchResult placed = co_await m_thread.place(wanted);
        co_return placed;
    }
    ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    if (dispatch == nullptr) {
        co_return NoTarget {};
    }
    if (m_tried.empty()) {
        dispatch->retries().deposit();
    }
    DispatchResult chosen = co_await dispatch->acquire(wanted);
    co_return chosen;
}

bool Forwarder::targetsLeft() const
{
    if (std::holds_alternative<ScheduledPlacement>(m_thread.placement())) {
        return true;
    }
    const ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    return dispatch != nullptr && dispatch->targetsLeft(m_tried, m_access.route.idempotent);
}

void Forwarder::start(std::unique_ptr<TargetLease> lease)
{
    m_tried.push_back(lease->name());
    m_endpoint = toString(lease->runtime().pool.endpoint());
    const bool hedge = lease->hedgeAfter() && m_attempts.mayHedge(static_cast<unsigned>(m_race->running()) + 1, RuntimeClock::now());
    m_hedgeAt = hedge ? std::optional(RuntimeClock::now() + *lease->hedgeAfter()) : std::nullopt;
    m_race->start(std::move(lease), m_attempts, targetsLeft(), m_deadline, m_ticket.m_signal, m_ticket.m_waiting);
}

boost::asio::awaitable<ForwardResult> Forwarder::forward()
{
    while (true) {
        const TimePoint asked = RuntimeClock::now();
        DispatchResult choice = co_await acquire();
        m_placing += RuntimeClock::now() - asked;
        if (m_ticket.isCallerGone()) {
            co_return AbortCaller {};
        }
        const bool alone = m_race->running() == 0 && !m_race->hasEnded();
        if (const auto *none = std::get_if<NoTarget>(&choice)) {
            if (alone) {
                co_return giveUpWithout(*none);
            }
            m_hedgeAt.reset();
        } else if (auto refusal = recheckAccess(*m_thread.snapshot(), m_access, RuntimeClock::now())) {
            // The request may have waited, so its key is looked at once more.
            if (alone) {
                refusal->outcome = m_attempts.outcome();
                refusal->status = m_attempts.outcome() == RunOutcome::NotRun || refusal->status != 503 ? refusal->status : 502;
                co_return refuse(*refusal);
            }
            m_hedgeAt.reset();
        } else {
            start(std::move(std::get<std::unique_ptr<TargetLease>>(choice)));
        }
        if (auto end = co_await follow()) {
            co_return std::move(*end);
        }
        ++m_thread.report().retries;
    }
}

boost::asio::awaitable<std::optional<ForwardResult>> Forwarder::follow()
{
    while (true) {
        if (m_ticket.isCallerGone()) {
            co_return AbortCaller {};
        }
        if (const auto entry = m_race->takeEnded()) {
            if (auto end = conclude(*entry->result)) {
                co_return std::move(end);
            }
            if (m_race->running() == 0) {
                co_return std::nullopt;
            }
            continue;
        }
        const TimePoint now = RuntimeClock::now();
        if (m_ticket.m_expired) {
            co_return giveUp({504, m_attempts.outcomeWith(m_race->running()), {}});
        }
        if (m_hedgeAt && now >= *m_hedgeAt) {
            m_hedgeAt.reset();
            co_return std::nullopt;
        }
        boost::system::error_code cancelled;
        m_ticket.m_signal.expires_at(m_hedgeAt.value_or(m_deadline + config::LimitCheckInterval));
        co_await m_ticket.m_signal.async_wait(errorInto(cancelled));
    }
}

// A target's own answer, though a failure, tells the caller more than one of ours.
ForwardResult Forwarder::giveUpWithout(const NoTarget &none)
{
    if (none.overRate && m_attempts.outcome() == RunOutcome::NotRun) {
        ++counts().overRate;
        return refuse({429, "over-rate", "the team's rate is used up", RunOutcome::NotRun, none.retryAfter});
    }
    if (m_lastFailure) {
        return passOn(std::move(*m_lastFailure));
    }
    GiveUp answer = m_attempts.noTarget(RuntimeClock::now());
    answer.retryAfter = none.retryAfter > Duration::zero() && answer.retryAfter > Duration::zero() ? none.retryAfter : answer.retryAfter;
    return giveUp(answer);
}

std::optional<ForwardResult> Forwarder::conclude(AttemptResult &result)
{
    if (auto *held = std::get_if<HeldAnswer>(&result)) {
        return passOn(std::move(*held));
    }
    if (const auto *streamed = std::get_if<StreamedAnswer>(&result)) {
        ++counts().good;
        return *streamed;
    }
    auto &failed = std::get<FailedAttempt>(result);
    ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    RetryBudget &budget = dispatch == nullptr ? m_scheduledBudget : dispatch->retries();
    if (failed.answer) {
        m_lastFailure = std::move(failed.answer);
    }
    const NextStep step = m_attempts.failed(failed.failed, targetsLeft(), budget, RuntimeClock::now());
    if (std::holds_alternative<AbortCaller>(step)) {
        ++counts().bad;
        return AbortCaller {};
    }
    if (std::holds_alternative<TryAgain>(step) || m_race->running() > 0) {
        return std::nullopt;
    }
    if (std::holds_alternative<PassOn>(step) && m_lastFailure) {
        return passOn(std::move(*m_lastFailure));
    }
    if (std::holds_alternative<PassOn>(step)) {
        return giveUpWithout({true, config::RetryAfterFailure});
    }
    return giveUp(std::get<GiveUp>(step));
}

// Statuses that promise that nothing has run are this daemon's to give, unless the target said so itself.
ForwardResult Forwarder::passOn(HeldAnswer held)
{
    TargetAnswer answer = std::move(held.answer);
    const unsigned status = answer.result_int();
    const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
    if (promises && !m_thread.dialect().notExecuted.empty()) {
        return giveUp({502, RunOutcome::Unknown, {}});
    }
    removeHopByHopFields(answer);
    answer.version(11);
    const bool bodyless = m_race->request().method() == http::verb::head || status == 204 || status == 304;
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
    if (!eventsOpen()) {
        return;
    }
    const auto &request = m_race->request();
    const auto id = request.find(m_thread.dialect().requestId);
    const auto *answer = std::get_if<TargetAnswer>(&result);
    const auto &snapshot = *m_thread.snapshot();
    Event event("traffic", "request-ended");
    event.add("id", id == request.end() ? std::string_view() : std::string_view(id->value().data(), id->value().size()));
    event.add("route", m_access.route.name.value).add("service", m_service.value).add("team", m_access.team.value);
    event.add("status", static_cast<std::int64_t>(answer == nullptr ? 0 : answer->result_int()));
    event.add("reason", std::holds_alternative<AbortCaller>(result) ? std::string("caller-left-or-cut") : m_reason);
    event.add("attempts", static_cast<std::int64_t>(m_tried.size()));
    event.add("target", m_tried.empty() ? std::string() : m_tried.back().value);
    event.add("endpoint", m_endpoint).add("placing_ms", m_placing);
    event.add("took_ms", RuntimeClock::now() - m_start).add("deadline_ms", m_deadline - m_start);
    event.add("document", static_cast<std::int64_t>(snapshot.compiled ? snapshot.compiled->stamp.version : 0));
    event.add("keys_left_ms", std::min<Duration>(snapshot.trustedUntil - RuntimeClock::now(), std::chrono::hours(1)));
}
}
