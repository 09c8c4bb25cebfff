#include "fuzz_settings.h"

#include <plumsill/answer_pipeline.h>
#include <plumsill/config.h>

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

// Included last, as its macro for "new" breaks other headers.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr int DefaultRuns = 2000;
constexpr Duration IdleTimeout = 5s;
constexpr unsigned Attempts = 3;

enum class Op
{
    AddRequest,
    Claim,
    Write,
    WriteEnds,
    Finish,
    BreakOff,
    StartRead,
    ReadEnds,
    CallerLeaves,
    PlannedStop,
    AnswersDue,
    CallerFoundClosed,
    TimePasses,
    ShutDown,
};

struct Action {
    Op op = Op::AddRequest;
    unsigned subject = 0;
    unsigned amount = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << "{" << static_cast<int>(action.op) << " " << action.subject << " " << action.amount << "}";
}

rc::Gen<Action> genAction()
{
    const auto op
        = rc::gen::element(Op::AddRequest, Op::AddRequest, Op::AddRequest, Op::Claim, Op::Claim, Op::Claim, Op::Claim, Op::Write, Op::Write, Op::Write,
                           Op::Write, Op::Write, Op::WriteEnds, Op::WriteEnds, Op::Finish, Op::Finish, Op::BreakOff, Op::StartRead, Op::StartRead, Op::ReadEnds,
                           Op::CallerLeaves, Op::PlannedStop, Op::AnswersDue, Op::CallerFoundClosed, Op::TimePasses, Op::TimePasses, Op::ShutDown);
    return rc::gen::construct<Action>(op, rc::gen::inRange(0U, 30U), rc::gen::inRange(0U, 12U));
}

/// What a request of the plain model holds. Its attempts and the daemon all try to write.
struct ModelRequest {
    AnswerOwnershipPtr ownership;
    std::optional<AttemptNumber> owner; ///< who claimed first
    bool begun = false; ///< bytes have gone out
    bool asleep = false; ///< waits for its turn
    bool abandoned = false;
};

/// Connection, callers and daemon around the pipeline, as a plain model that keeps a list of all requests.
class Model
{
public:
    void run(const Action &action)
    {
        switch (action.op) {
        case Op::AddRequest:
            add(action.amount > 2);
            break;
        case Op::Claim:
            claim(pick(action.subject), action.amount % (Attempts + 1));
            break;
        case Op::Write:
            write(pick(action.subject), action.amount % (Attempts + 1), action.amount >= 6);
            break;
        case Op::WriteEnds:
            m_pipeline.endWrite();
            m_writeUntil = TimePoint::max();
            break;
        case Op::Finish:
            finish(front(), true);
            break;
        case Op::BreakOff:
            breakOff(front());
            break;
        case Op::StartRead:
            startRead(action.subject % 2 == 0 ? Reading::NextRequest : Reading::Request, std::chrono::seconds(action.amount));
            break;
        case Op::ReadEnds:
            m_pipeline.endRead();
            m_readUntil.reset();
            break;
        case Op::CallerLeaves:
            take(m_pipeline.callerLeft());
            m_left = true;
            break;
        case Op::PlannedStop:
            check({m_now, true, false, false, 0});
            break;
        case Op::AnswersDue:
            check({m_now, true, true, false, 0});
            break;
        case Op::CallerFoundClosed:
            check({m_now, false, false, true, 0});
            m_left = true;
            break;
        case Op::TimePasses:
            m_now += std::chrono::seconds(action.amount);
            check({m_now, false, false, false, 0});
            break;
        case Op::ShutDown:
            shutDown();
            break;
        }
        checkAll();
    }

private:
    ModelRequest *find(RequestNumber number)
    {
        const auto found = m_requests.find(number);
        return found == m_requests.end() ? nullptr : &found->second;
    }
    RequestNumber front() const { return m_requests.empty() ? 0 : m_requests.begin()->first; }
    RequestNumber pick(unsigned subject) const
    {
        return m_requests.empty() ? 0 : std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(subject % m_requests.size()))->first;
    }
    void add(bool keepAlive)
    {
        if (m_left || !m_pipeline.takesRequests() || m_shut) {
            return;
        }
        const RequestNumber number = m_pipeline.add(keepAlive);
        RC_ASSERT((m_requests.empty() || number > m_requests.rbegin()->first));
        m_requests[number].ownership = m_pipeline.ownership(number);
    }
    void claim(RequestNumber number, AttemptNumber writer)
    {
        if (ModelRequest *request = find(number)) {
            RC_ASSERT(request->ownership->claim(writer) == !request->owner.has_value());
            request->owner = request->owner.value_or(writer);
        }
    }
    // Whoever may not write yet goes to sleep until it is woken.
    void write(RequestNumber number, AttemptNumber writer, bool callerIsSlow)
    {
        ModelRequest *request = find(number);
        if (request == nullptr || !request->ownership->owns(writer)) {
            return;
        }
        RC_ASSERT(request->owner == writer);
        if (m_pipeline.waits(number)) {
            request->asleep = true;
            return;
        }
        if (!m_pipeline.mayWrite(number)) {
            return;
        }
        RC_ASSERT((!m_left && !m_reset && number == front()));
        request->begun = true;
        m_pipeline.written(1);
        if (callerIsSlow) {
            m_writeUntil = m_now + config::BodyTimeout;
            m_pipeline.beginWrite(m_writeUntil);
        }
    }
    void finish(RequestNumber number, bool complete)
    {
        if (number == 0) {
            return;
        }
        const PipelineEffects effects = m_pipeline.finish(number, complete, m_now, IdleTimeout);
        RC_ASSERT(count<ResetConnection>(effects) == 0U);
        const bool readsOn = m_readUntil && m_reading == Reading::NextRequest && m_pipeline.takesRequests();
        RC_ASSERT((count<CancelRead>(effects) == 0U || (m_requests.size() == 1 && !readsOn)));
        if (readsOn && m_requests.size() == 1) {
            m_readUntil = m_now + IdleTimeout;
        }
        take(effects);
        m_requests.erase(number);
    }
    void breakOff(RequestNumber number)
    {
        if (number != 0) {
            take(m_pipeline.reset());
            RC_ASSERT(m_reset);
            m_left = true;
            finish(number, false);
        }
    }
    void startRead(Reading what, Duration limit)
    {
        if (m_left || m_shut || !m_pipeline.takesRequests()) {
            return;
        }
        m_reading = what;
        m_readUntil = m_now + limit;
        m_pipeline.beginRead(what, *m_readUntil);
    }
    void shutDown()
    {
        if (m_requests.empty() && !m_shut) {
            m_shut = true;
            m_reading = Reading::Ignored;
            m_readUntil = m_now + config::CloseDrainTime;
            m_writeUntil = m_now + config::BodyTimeout;
            m_pipeline.shutDown(m_now);
        }
    }
    // Time limits and stops of reading end no write, and only the time limit of a write gives the connection up.
    void check(const PipelineCheck &state)
    {
        const bool writeExpired = m_now >= m_writeUntil;
        const bool readEnds = m_readUntil && (m_now >= *m_readUntil || (state.stopping && m_reading == Reading::NextRequest && m_pipeline.takesRequests()));
        const PipelineEffects effects = m_pipeline.check(state);
        RC_ASSERT((count<ResetConnection>(effects) > 0U) == writeExpired);
        RC_ASSERT(((count<CancelRead>(effects) > 0U) == (readEnds && !writeExpired)));
        RC_ASSERT(count<ExpireRequest>(effects) == (state.answersDue ? m_requests.size() : 0U));
        m_left = m_left || writeExpired;
        take(effects);
    }
    template<class Effect>
    static std::size_t count(const PipelineEffects &effects)
    {
        return static_cast<std::size_t>(
            std::count_if(effects.begin(), effects.end(), [](const auto &effect) { return std::holds_alternative<Effect>(effect); }));
    }
    void take(const PipelineEffects &effects)
    {
        for (const auto &effect : effects) {
            std::visit([this](const auto &single) { apply(single); }, effect);
        }
    }
    void apply(const CancelRead & /*effect*/) { }
    void apply(const ResetConnection & /*effect*/) { m_reset = true; }
    void apply(const WakeRequest &effect) { wake(effect.request); }
    void apply(const AbandonRequest &effect)
    {
        ModelRequest *request = find(effect.request);
        RC_ASSERT((request != nullptr && !request->abandoned));
        request->abandoned = true;
        wake(effect.request);
    }
    // The daemon tries to answer with a timeout, which it may only do where no attempt has begun.
    void apply(const ExpireRequest &effect)
    {
        ModelRequest *request = find(effect.request);
        RC_ASSERT(request != nullptr);
        const bool claimed = request->ownership->claim(DaemonWrites);
        RC_ASSERT(claimed == !request->owner.has_value());
        RC_ASSERT((!claimed || !request->begun));
        request->owner = request->owner.value_or(DaemonWrites);
    }
    void wake(RequestNumber number)
    {
        if (ModelRequest *request = find(number)) {
            request->asleep = false;
        }
    }
    void checkAll()
    {
        RC_ASSERT(m_pipeline.size() == m_requests.size());
        for (const auto &[number, request] : m_requests) {
            // A request that is asleep must have been woken by what ended its wait.
            RC_ASSERT((!request.asleep || m_pipeline.waits(number)));
            RC_ASSERT((m_pipeline.mayWrite(number) == (!m_left && number == front())));
            RC_ASSERT((m_pipeline.waits(number) == (!m_left && number != front())));
            RC_ASSERT(request.abandoned == m_left);
        }
        RC_ASSERT((!m_left || !m_pipeline.takesRequests()));
    }

    AnswerPipeline m_pipeline;
    std::map<RequestNumber, ModelRequest> m_requests;
    TimePoint m_now {1h};
    TimePoint m_writeUntil = TimePoint::max();
    std::optional<TimePoint> m_readUntil; ///< while a read is pending
    Reading m_reading = Reading::Nothing;
    bool m_left = false;
    bool m_reset = false;
    bool m_shut = false;
};
}

TEST_GROUP(AnswerFuzz) {};

// Guards the four rules of docs/design/answers.md: one writer, separate ends of reads and writes, nothing held for a caller who has left, no wait that is
// never ended.
TEST(AnswerFuzz, AnswersKeepTheirRulesInAnyOrderOfEvents)
{
    fuzzSettings(DefaultRuns);
    const bool passed = rc::check("answers keep their rules in any order of events", [] {
        const auto actions = *rc::gen::container<std::vector<Action>>(genAction());
        Model model;
        for (const auto &action : actions) {
            model.run(action);
        }
    });
    CHECK(passed);
}
