#include "control_p.h"
#include "environment_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace plumsill
{
DocumentControl::DocumentControl(Control &control)
    : m_control(control)
{ }

boost::asio::awaitable<void> DocumentControl::run()
{
    Backoff backoff(config::StoreBackoffMin, config::StoreBackoffMax);
    while (true) {
        const bool needed = !m_holder.held() || m_control.membership().membership().isWatcher(RuntimeClock::now());
        if (!needed) {
            co_await sleepFor(config::HeartbeatInterval);
            continue;
        }
        const TimePoint startedAt = RuntimeClock::now();
        co_await watchStore();
        if (RuntimeClock::now() - startedAt > config::StoreBackoffMax) {
            backoff.reset();
        }
        co_await sleepFor(backoff.next(0.5));
    }
}

boost::asio::awaitable<bool> DocumentControl::readFromStore()
{
    const TimePoint sent = RuntimeClock::now();
    const StoreCaller caller = makeStoreCaller(m_control.store());
    const std::string environment = m_control.settings().environment;
    const auto refreshed = co_await refreshDocument(caller, environment, m_holder);
    if (!refreshed) {
        const bool absent = refreshed.error().fault == StoreFault::NotFound;
        if (absent) {
            m_control.membership().membership().documentRead({}, sent);
        }
        co_return absent;
    }
    m_control.membership().membership().documentRead(refreshed.value().stored, refreshed.value().sent);
    carryOut(refreshed.value().effects);
    co_return true;
}

// Returns when listing or reading fails, when the watch ends, or when this daemon is no longer a watcher. The caller
// then starts over with a new listing and a new read.
boost::asio::awaitable<void> DocumentControl::watchStore()
{
    const std::string key = manifestKey(m_control.settings().environment);
    const auto listed = co_await m_control.store().list(key);
    if (!listed) {
        co_return;
    }
    const bool read = co_await readFromStore();
    if (!read) {
        co_return;
    }
    using namespace boost::asio::experimental::awaitable_operators;
    co_await (watchUntilFailure(key, listed.value().revision) || refreshWhileWatcher());
}

// A watch without events doesn't prove that the document is unchanged. The document is trusted for
// DocumentTrustLifetime after a confirmation by a majority or a read of the store. When less than half of that time is
// left, the store is read again.
boost::asio::awaitable<void> DocumentControl::refreshWhileWatcher()
{
    do {
        co_await sleepFor(config::HeartbeatInterval);
        const TimePoint now = RuntimeClock::now();
        const auto until = m_holder.trustedUntil();
        if (until && *until - now < config::DocumentTrustLifetime / 2) {
            co_await readFromStore();
        }
    } while (m_control.membership().membership().isWatcher(RuntimeClock::now()));
}

boost::asio::awaitable<void> DocumentControl::watchUntilFailure(std::string key, std::uint64_t revision)
{
    // The handler is a named variable because g++ 12 destroys a temporary with captures twice in a co_await expression.
    const std::function<void(const WatchEvent &)> handler = [this, key](const WatchEvent &event) {
        const auto *put = std::get_if<ObjectPut>(&event);
        if (put != nullptr && put->object.key == key) {
            boost::asio::co_spawn(m_control.context(), refresh(), boost::asio::detached);
        }
    };
    const auto error = co_await m_control.store().watch(key, revision, handler);
    logDebug(LogPart::Document, "the watch of the document ended: " + toString(error));
}

boost::asio::awaitable<void> DocumentControl::refresh()
{
    co_await readFromStore();
}

void DocumentControl::documentReported(const MemberId &member, const DocumentStamp &stamp)
{
    carryOut(m_holder.reportedByMember(member, stamp, RuntimeClock::now()));
}

void DocumentControl::confirm()
{
    const auto since = m_control.membership().membership().documentFreshAt();
    if (since) {
        m_holder.confirmedByMembers(m_holder.stamp(), *since);
    }
}

std::optional<Envelope> DocumentControl::respond(const Envelope &)
{
    if (!m_holder.held()) {
        return std::nullopt;
    }
    const auto &held = *m_holder.held();
    return m_control.membership().membership().envelope(DocumentReply {held.stamp, held.text});
}

boost::asio::awaitable<void> DocumentControl::fetch(FetchDocument effect)
{
    auto &membership = m_control.membership().membership();
    std::optional<Endpoint> from;
    for (const auto &peer : membership.peers(RuntimeClock::now())) {
        if (peer.member.id == effect.member) {
            from = peer.member.peer;
        }
    }
    if (!from) {
        co_return;
    }
    const Envelope request = membership.envelope(DocumentRequest {m_holder.stamp()});
    const auto reply = co_await m_control.peers().request(*from, request);
    if (!reply) {
        co_return;
    }
    if (const auto *document = std::get_if<DocumentReply>(&reply.value().message)) {
        carryOut(m_holder.offeredByMember(document->stamp, document->text));
    }
}

void DocumentControl::carryOut(const HolderEffects &effects)
{
    for (const auto &effect : effects) {
        if (const auto *adopt = std::get_if<AdoptDocument>(&effect)) {
            const Document before = m_compiled ? *m_compiled->document : Document {};
            m_compiled = new CompiledDocument(adopt->held->stamp, adopt->held->document);
            m_control.documentAdopted(before, *adopt->held);
        } else if (const auto *fetched = std::get_if<FetchDocument>(&effect)) {
            boost::asio::co_spawn(m_control.context(), fetch(*fetched), boost::asio::detached);
        } else if (const auto *rejected = std::get_if<RejectOffer>(&effect)) {
            logWarning(LogPart::Document, "document version " + std::to_string(rejected->stamp.version) + " rejected: " + rejected->reason);
        }
    }
}
}
