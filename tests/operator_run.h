#pragma once

#include "fake_store.h"

#include <plumsill/environment.h>

#include <chrono>

/// Runs one operator's change step by step against the fake store, in simulated time.
namespace plumsill
{
inline const std::string smallDocument = "[service s]\nfloor = 50%\n[route r]\nprefix = /\nservice = s\nidempotent = yes\naccess = open\n";

inline std::string documentWithTeam(const std::string &team)
{
    return smallDocument + "[team " + team + "]\nrate = 1/s\nburst = 1\n";
}

class OperatorRun
{
public:
    OperatorRun(ChangeOrder order, TimePoint now)
        : m_writeId(order.writeId)
        , m_process(std::make_unique<ChangeProcess>(std::move(order), now))
        , m_step(m_process->start())
    { }

    bool done() const { return std::holds_alternative<ChangeReply>(m_step); }
    const ChangeReply &reply() const { return std::get<ChangeReply>(m_step); }
    const std::string &writeId() const { return m_writeId; }
    bool calls() const { return std::holds_alternative<ObjectCall>(m_step); }

    /// Runs one step and advances @p now: by 2 s for a call without an answer, by 10 ms for any other call.
    void advance(FakeStore &store, TimePoint &now, CallFault fault, Holders holders)
    {
        using namespace std::chrono_literals;
        if (const auto *call = std::get_if<ObjectCall>(&m_step)) {
            const auto result = store.call(*call, fault);
            const bool timedOut = result.has_error() && result.error().fault == StoreFault::NoAnswer;
            now += timedOut ? 2000ms : 10ms;
            m_step = m_process->answered(result, now);
        } else if (const auto *pause = std::get_if<ChangePause>(&m_step)) {
            now += pause->delay;
            m_step = m_process->resumed(now);
        } else {
            m_step = m_process->holdersCounted(holders, now);
        }
    }
    void finish(FakeStore &store, TimePoint &now, Holders holders = {3, 4})
    {
        while (!done()) {
            advance(store, now, CallFault::None, holders);
        }
        for (const auto &call : m_process->cleanUp()) {
            store.perform(call);
        }
    }

private:
    std::string m_writeId;
    std::unique_ptr<ChangeProcess> m_process;
    ChangeStep m_step;
};

inline ChangeOrder orderOf(ChangeRequest request, const std::string &writeId)
{
    const bool promotes = std::holds_alternative<PromoteRequest>(request);
    return {std::move(request), "ann", "2026-01-01T00:00:00Z", writeId, promotes ? ProductionEnvironment : TrialEnvironment, 0};
}

inline ChangeReply runToEnd(FakeStore &store, TimePoint &now, ChangeRequest request, const std::string &writeId, Holders holders = {3, 4})
{
    OperatorRun run(orderOf(std::move(request), writeId), now);
    run.finish(store, now, holders);
    return run.reply();
}

inline std::optional<Manifest> manifestIn(const FakeStore &store, const std::string &environment)
{
    const auto *object = store.find(manifestKey(environment));
    return object == nullptr ? std::nullopt : parseManifest(object->value);
}

/// Text of an environment's document; nothing if there is none or a chunk is missing or damaged.
inline std::optional<std::string> textIn(FakeStore &store, const std::string &environment)
{
    const auto manifest = manifestIn(store, environment);
    if (!manifest) {
        return std::nullopt;
    }
    TextAssembly assembly(environment, *manifest);
    while (const auto call = assembly.next()) {
        const auto chunk = store.call(*call);
        if (chunk.has_error() || !assembly.add(std::get<StoredObject>(chunk.value()).value)) {
            return std::nullopt;
        }
    }
    return assembly.text();
}
}
