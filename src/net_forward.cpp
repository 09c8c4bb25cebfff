#include "forward_p.h"

#include <plumsill/config.h>
#include <plumsill/detector.h>

#include <boost/beast/http.hpp>

#include <charconv>

namespace plumsill
{
namespace http = boost::beast::http;

namespace
{
constexpr const char *DeadlineField = "Plumsill-Deadline-Ms";

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
        return Access {route, {}, presented == nullptr ? std::string() : presented->key};
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
    return Access {route, *team, presented->key};
}

/// Shared with a timer's handler, which may still run after the attempt has ended.
struct SlowWatch {
    bool running = true;
    bool counted = false;
};

AnswerKind answerKind(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectFailed:
        return AnswerKind::Unreachable;
    case AttemptFailure::TimedOut:
        return AnswerKind::Timeout;
    case AttemptFailure::Truncated:
    case AttemptFailure::Malformed:
        return AnswerKind::Truncated;
    case AttemptFailure::Shed:
        return AnswerKind::Shed;
    case AttemptFailure::ConnectionLost:
    case AttemptFailure::ServerError:
        return AnswerKind::Error;
    }
    return AnswerKind::Error;
}

bool targetLeaving(const AttemptResult &result)
{
    if (const auto *held = std::get_if<HeldAnswer>(&result)) {
        return held->targetLeaving;
    }
    if (const auto *streamed = std::get_if<StreamedAnswer>(&result)) {
        return streamed->targetLeaving;
    }
    const auto &answer = std::get<FailedAttempt>(result).answer;
    return answer && answer->targetLeaving;
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

TimePoint requestDeadline(const Route &route, const CallerRequestHeader &header, TimePoint now)
{
    const auto field = header[DeadlineField];
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    if (field.empty() || error != std::errc() || end != field.data() + field.size()) {
        return now + route.timeout;
    }
    return now + std::min<Duration>(route.timeout, std::chrono::milliseconds(milliseconds));
}

Forwarder::Forwarder(TrafficThread &thread, const Access &access, const CallerRequest &request, const std::string &callerAddress, const AnswerSink *sink,
                     AttemptHandle &handle)
    : m_thread(thread)
    , m_access(access)
    , m_sink(sink)
    , m_handle(handle)
    , m_start(RuntimeClock::now())
    , m_deadline(requestDeadline(access.route, request, m_start))
    , m_request(requestForTarget(request, thread.nextRequestId(), callerAddress))
    , m_attempts(access.route.idempotent, m_deadline)
{ }

TrafficCounts &Forwarder::counts()
{
    return m_thread.report().counts[{m_access.route.service, m_access.team}];
}

ForwardResult Forwarder::refuse(const Refusal &refusal)
{
    return refusalAnswer(refusal);
}

ForwardResult Forwarder::giveUp(const GiveUp &answer)
{
    ++counts().bad;
    const char *message = answer.status == 504 ? "no answer in time" : "no target answered";
    return refuse({answer.status, answer.status == 504 ? "timeout" : "no-target", message, answer.outcome, answer.retryAfter});
}

boost::asio::awaitable<std::optional<Refusal>> Forwarder::admit()
{
    if (m_access.route.open) {
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
    if (!m_access.key.empty() && m_request.body().find(m_access.key) != std::string::npos) {
        co_return refuse({400, "key-outside-header", "a key stands outside its header", std::nullopt, {}});
    }
    if (const auto refusal = co_await admit()) {
        co_return refuse(*refusal);
    }
    co_return co_await forward();
}

boost::asio::awaitable<ForwardResult> Forwarder::forward()
{
    ServiceDispatch *dispatch = m_thread.dispatch(m_access.route.service);
    if (dispatch == nullptr) {
        co_return giveUp(m_attempts.noTarget(RuntimeClock::now()));
    }
    dispatch->retries().deposit();
    while (true) {
        const DispatchRequest wanted {m_access.team, m_deadline, m_tried, m_access.route.idempotent};
        DispatchResult choice = co_await dispatch->acquire(wanted);
        if (const auto *none = std::get_if<NoTarget>(&choice)) {
            co_return giveUpWithout(*none);
        }
        // The request may have waited, so its key and its caller are looked at once more.
        if (auto refusal = recheckAccess(*m_thread.snapshot(), m_access, RuntimeClock::now())) {
            refusal->outcome = m_attempts.outcome();
            co_return refuse(*refusal);
        }
        if (m_handle.isCallerGone()) {
            co_return AbortCaller {};
        }
        auto lease = std::move(std::get<std::unique_ptr<TargetLease>>(choice));
        m_tried.push_back(lease->name());
        AttemptResult result = co_await attempt(*dispatch, *lease);
        lease.reset();
        if (auto end = conclude(*dispatch, result)) {
            co_return std::move(*end);
        }
        ++m_thread.report().retries;
    }
}

ForwardResult Forwarder::giveUpWithout(const NoTarget &none)
{
    GiveUp answer = m_attempts.noTarget(RuntimeClock::now());
    answer.retryAfter = std::max(answer.retryAfter, none.retryAfter);
    return giveUp(answer);
}

std::optional<ForwardResult> Forwarder::conclude(ServiceDispatch &dispatch, AttemptResult &result)
{
    if (auto *held = std::get_if<HeldAnswer>(&result)) {
        return passOn(std::move(*held));
    }
    if (const auto *streamed = std::get_if<StreamedAnswer>(&result)) {
        ++counts().good;
        return *streamed;
    }
    if (m_handle.isCallerGone()) {
        return AbortCaller {};
    }
    auto &failed = std::get<FailedAttempt>(result);
    const bool others = dispatch.targetsLeft(m_tried, m_access.route.idempotent);
    const NextStep step = m_attempts.failed(failed.failed, others, dispatch.retries(), RuntimeClock::now());
    if (std::holds_alternative<TryAgain>(step)) {
        return std::nullopt;
    }
    if (std::holds_alternative<AbortCaller>(step)) {
        ++counts().bad;
        return AbortCaller {};
    }
    if (std::holds_alternative<PassOn>(step)) {
        return passOn(std::move(*failed.answer));
    }
    return giveUp(std::get<GiveUp>(step));
}

boost::asio::awaitable<AttemptResult> Forwarder::attempt(ServiceDispatch &dispatch, TargetLease &lease)
{
    const TimePoint start = RuntimeClock::now();
    AttemptOptions options;
    options.idempotent = m_access.route.idempotent;
    options.timeout = m_attempts.attemptTimeout(dispatch.targetsLeft(m_tried, m_access.route.idempotent), start);
    options.sink = m_sink;
    options.handle = &m_handle;
    m_request.set(DeadlineField, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(options.timeout).count()));
    const bool limitReached = dispatch.limitReached();
    const Duration slowAfter = dispatch.slowAfter();
    const auto watch = std::make_shared<SlowWatch>();
    RuntimeTimer slowTimer(co_await boost::asio::this_coro::executor);
    if (slowAfter > Duration::zero()) {
        slowTimer.expires_after(slowAfter);
        slowTimer.async_wait([this, watch, slowAfter, &lease](const boost::system::error_code &error) {
            if (!error && watch->running) {
                countOverdue(evidence(lease.name()));
                lease.runtime().latency.addWaiting(slowAfter, RuntimeClock::now());
                watch->counted = true;
            }
        });
    }
    AttemptResult result = co_await lease.runtime().pool.attempt(m_request, options);
    watch->running = false;
    const TimePoint now = RuntimeClock::now();
    const auto *failed = std::get_if<FailedAttempt>(&result);
    if (failed != nullptr && failed->failed.failure == AttemptFailure::Shed) {
        dispatch.concurrency().shed(now);
    } else if (failed == nullptr) {
        dispatch.concurrency().answered(limitReached);
    }
    if (!m_handle.isCallerGone()) {
        noteEvidence(lease, result, now - start, slowAfter, watch->counted);
    }
    co_return result;
}

TargetEvidence &Forwarder::evidence(const TargetName &target)
{
    auto &sum = m_thread.report().evidence[m_access.route.service][target];
    sum.target = target;
    return sum;
}

void Forwarder::noteEvidence(TargetLease &lease, const AttemptResult &result, Duration latency, Duration slowAfter, bool countedSlow)
{
    const auto *failed = std::get_if<FailedAttempt>(&result);
    const AnswerKind kind = failed == nullptr ? AnswerKind::Good : answerKind(failed->failed.failure);
    countAnswer(evidence(lease.name()), kind, latency, slowAfter, countedSlow);
    const TimePoint now = RuntimeClock::now();
    if (kind == AnswerKind::Good) {
        lease.runtime().latency.add(latency, now);
    } else if (kind != AnswerKind::Shed) {
        lease.runtime().latency.addFailure(now);
    }
    if (targetLeaving(result)) {
        m_thread.report().leavingTargets.push_back({lease.name(), lease.runtime().pool.endpoint()});
    }
}

ForwardResult Forwarder::passOn(HeldAnswer held)
{
    TargetAnswer answer = std::move(held.answer);
    const unsigned status = answer.result_int();
    removeHopByHopFields(answer);
    answer.version(11);
    const bool bodyless = m_request.method() == http::verb::head || status == 204 || status == 304;
    if (!bodyless) {
        answer.content_length(answer.body().size());
    }
    if (status >= 500) {
        ++counts().bad;
        return answer;
    }
    ++counts().good;
    const auto [histogram, added] = m_thread.report().latency.try_emplace(m_access.route.service, makeLatencyHistogram());
    histogram->second(seconds(RuntimeClock::now() - m_start));
    return answer;
}
}
