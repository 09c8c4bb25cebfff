#include "parallel_attempts_p.h"

#include <plumsill/detector.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace plumsill
{
namespace
{
/// State of the timer that counts an attempt as overdue. Shared with the timer's handler, which may run after the attempt has ended.
struct SlowWatch {
    bool running = true;
    bool counted = false; ///< the attempt was counted as overdue
};

AnswerKind answerKind(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::HelperUnavailable:
    case AttemptFailure::WrongTarget:
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

AttemptEnd attemptEnd(const AttemptFailed &failed)
{
    switch (failed.failure) {
    case AttemptFailure::ConnectFailed:
        return AttemptEnd::Unreachable;
    case AttemptFailure::HelperUnavailable:
        return AttemptEnd::HelperUnavailable;
    case AttemptFailure::WrongTarget:
        return AttemptEnd::WrongTarget;
    case AttemptFailure::TimedOut:
        return AttemptEnd::TimedOut;
    case AttemptFailure::Shed:
        return AttemptEnd::NotExecuted;
    case AttemptFailure::Truncated:
    case AttemptFailure::Malformed:
    case AttemptFailure::ConnectionLost:
    case AttemptFailure::ServerError:
        return AttemptEnd::Failed;
    }
    return AttemptEnd::Failed;
}

const TargetNotice &noticeOf(const AttemptResult &result)
{
    return std::visit([](const auto &end) -> const TargetNotice & { return end.notice; }, result);
}

RunEnd runEnd(const AttemptResult &result)
{
    const auto *failed = std::get_if<FailedAttempt>(&result);
    if (failed == nullptr || (failed->answer && failed->failed.failure == AttemptFailure::ServerError)) {
        return RunEnd::Answered;
    }
    const bool sent = failed->failed.progress >= AttemptProgress::Sent;
    const bool lost = failed->failed.failure == AttemptFailure::ConnectionLost || failed->failed.failure == AttemptFailure::Truncated;
    return sent && lost ? RunEnd::ConnectionLost : RunEnd::Unknown;
}
}

ParallelAttempts::ParallelAttempts(TrafficThread &thread, const Access &access, ServiceName service, TargetRequest request, AnswerSinkPtr sink,
                                   AnswerOwnershipPtr ownership)
    : m_thread(thread)
    , m_service(std::move(service))
    , m_idempotent(access.route.idempotent)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
    , m_ownership(std::move(ownership))
{ }

void ParallelAttempts::start(std::unique_ptr<TargetLease> lease, const RequestAttempts &attempts, bool hasUntriedTarget, TimePoint deadline,
                             RuntimeTimer &wakeTimer, AttemptHandle &targetWait)
{
    m_wakeTimer = &wakeTimer;
    m_targetWait = &targetWait;
    const boost::intrusive_ptr<AttemptEntry> entry(new AttemptEntry);
    entry->number = ++m_started;
    entry->lease = std::move(lease);
    entry->startedAt = RuntimeClock::now();
    AttemptOptions options;
    options.idempotent = m_idempotent;
    const bool hedged = entry->lease->hedgeAfter().has_value();
    const Duration remaining = std::max<Duration>(deadline - entry->startedAt, std::chrono::milliseconds(1));
    options.timeout = hedged ? remaining : attempts.attemptTimeout(hasUntriedTarget, entry->startedAt);
    options.handle = &entry->handle;
    options.tunnel = entry->lease->tunnel();
    options.dialect = &m_thread.dialect();
    options.memory = &m_thread.memory();
    options.streamedForMemory = &m_thread.report().limits.streamedForMemory;
    TargetRequest request = m_request;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(options.timeout).count();
    request.set(m_thread.dialect().deadline, std::to_string(std::max<std::int64_t>(milliseconds, 1)));
    if (!m_thread.dialect().targetName.empty()) {
        request.set(m_thread.dialect().targetName, entry->lease->name().value);
    }
    m_running.push_back(entry);
    boost::asio::co_spawn(wakeTimer.get_executor(), attempt(entry, options, std::move(request)), boost::asio::detached);
}

boost::intrusive_ptr<AttemptEntry> ParallelAttempts::takeEnded()
{
    if (m_ended.empty()) {
        return {};
    }
    auto entry = std::move(m_ended.front());
    m_ended.pop_front();
    return entry;
}

bool ParallelAttempts::answerBegun() const
{
    return std::any_of(m_running.begin(), m_running.end(), [](const auto &entry) { return entry->handle.answerBegun(); });
}

// Abandons all running attempts. Those that cannot be cancelled continue, and each still reports its end through the lease of its target.
void ParallelAttempts::close()
{
    m_sink.reset();
    m_wakeTimer = nullptr;
    m_targetWait = nullptr;
    const auto running = m_running;
    for (const auto &entry : running) {
        entry->handle.abandon();
    }
}

/// Passes the answer of one attempt on. The caller gets the answer of the attempt that begins to stream first; the other attempts are abandoned, and their
/// answers are discarded.
class ParallelAttempts::AttemptSink final : public AnswerSink
{
public:
    AttemptSink(boost::intrusive_ptr<ParallelAttempts> attempts, boost::intrusive_ptr<AttemptEntry> entry)
        : m_attempts(std::move(attempts))
        , m_entry(std::move(entry))
    { }

    boost::asio::awaitable<bool> begin(const AnswerHeader &header, std::uint64_t contentLength, bool chunked) override
    {
        const AnswerSinkPtr caller = m_attempts->m_sink;
        if (!caller || !m_attempts->m_ownership->claim(m_entry->number)) {
            co_return false;
        }
        m_attempts->m_targetWait->cancelWait();
        const auto others = m_attempts->m_running;
        for (const auto &other : others) {
            if (other != m_entry) {
                other->handle.abandon();
            }
        }
        co_return co_await caller->begin(header, contentLength, chunked);
    }
    boost::asio::awaitable<bool> write(std::string_view bytes) override
    {
        const AnswerSinkPtr caller = m_attempts->m_sink;
        if (!caller || !m_attempts->m_ownership->owns(m_entry->number)) {
            co_return false;
        }
        co_return co_await caller->write(bytes);
    }

private:
    const boost::intrusive_ptr<ParallelAttempts> m_attempts;
    const boost::intrusive_ptr<AttemptEntry> m_entry;
};

boost::asio::awaitable<void> ParallelAttempts::attempt(boost::intrusive_ptr<AttemptEntry> entry, AttemptOptions options, TargetRequest request)
{
    const boost::intrusive_ptr<ParallelAttempts> self(this);
    ServiceDispatch *dispatch = m_thread.dispatch(m_service);
    const bool limitReached = dispatch != nullptr && dispatch->limitReached();
    const Duration slowAfter = dispatch == nullptr ? Duration::zero() : dispatch->slowAfter();
    options.sink = m_sink ? new AttemptSink(self, entry) : nullptr;
    const auto watch = std::make_shared<SlowWatch>();
    RuntimeTimer slowTimer(co_await boost::asio::this_coro::executor);
    if (slowAfter > Duration::zero()) {
        slowTimer.expires_after(slowAfter);
        slowTimer.async_wait([self, entry, watch, slowAfter](const boost::system::error_code &error) {
            if (!error && watch->running) {
                countOverdue(self->evidence(entry->lease->name()));
                entry->lease->runtime().latency.addWaiting(slowAfter, RuntimeClock::now());
                watch->counted = true;
            }
        });
    }
    AttemptResult result = co_await entry->lease->runtime().pool.attempt(request, options);
    watch->running = false;
    const TimePoint now = RuntimeClock::now();
    const auto *failed = std::get_if<FailedAttempt>(&result);
    if (dispatch != nullptr && failed != nullptr && failed->failed.failure == AttemptFailure::Shed) {
        dispatch->concurrency().shed(now);
    } else if (dispatch != nullptr && failed == nullptr) {
        dispatch->concurrency().answered(limitReached);
    }
    if (!entry->handle.abandoned()) {
        recordEvidence(*entry, result, now - entry->startedAt, slowAfter, watch->counted);
    }
    entry->result = std::move(result);
    recordEnd(entry, *entry->result);
}

// Reports the end of the attempt through the lease of its target in any case, so that the target's slot is freed even when another attempt has already answered
// the request.
void ParallelAttempts::recordEnd(const boost::intrusive_ptr<AttemptEntry> &entry, const AttemptResult &result)
{
    const auto *failed = std::get_if<FailedAttempt>(&result);
    const bool cancelled = entry->handle.abandoned() && failed != nullptr;
    const AttemptEnd end = cancelled ? AttemptEnd::Abandoned : failed == nullptr ? AttemptEnd::Good : attemptEnd(failed->failed);
    TargetNotice notice = noticeOf(result);
    notice.run = cancelled ? RunEnd::Unknown : runEnd(result);
    entry->lease->reportEnd(end, RuntimeClock::now() - entry->startedAt, notice);
    std::erase(m_running, entry);
    m_ended.push_back(entry);
    if (m_wakeTimer != nullptr) {
        m_wakeTimer->cancel();
        m_targetWait->cancelWait();
    }
}

TargetEvidence &ParallelAttempts::evidence(const TargetName &target)
{
    auto &sum = m_thread.report().evidence[m_service][target];
    sum.target = target;
    return sum;
}

void ParallelAttempts::recordEvidence(AttemptEntry &entry, const AttemptResult &result, Duration latency, Duration slowAfter, bool countedSlow)
{
    const auto *failed = std::get_if<FailedAttempt>(&result);
    const AnswerKind kind = failed == nullptr ? AnswerKind::Good : answerKind(failed->failed.failure);
    countAnswer(evidence(entry.lease->name()), kind, latency, slowAfter, countedSlow);
    const TimePoint now = RuntimeClock::now();
    auto &runtime = entry.lease->runtime();
    if (kind == AnswerKind::Good) {
        runtime.latency.add(latency, now);
    } else if (kind != AnswerKind::Shed) {
        runtime.latency.addFailure(now);
    }
    if (noticeOf(result).leaving) {
        m_thread.report().leavingTargets.push_back({entry.lease->name(), runtime.pool.endpoint()});
    }
}
}
