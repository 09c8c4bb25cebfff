#include "zone_p.h"

#include <plumsill/compression.h>
#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// How a daemon of a zone fleet gets the newest document, from other daemons or from the directory, and proves that it is the newest.
namespace plumsill
{
boost::asio::awaitable<bool> ZoneControl::readDocument()
{
    const auto read = co_await m_directory.document();
    recordStoreResult("document", read);
    if (!read) {
        co_return false;
    }
    const DocumentRead &found = read.assume_value();
    if (found.version < m_documentFreshness.newest()) {
        Event("document", "older-document-read")
            .add("version", static_cast<std::int64_t>(found.version))
            .add("known", static_cast<std::int64_t>(m_documentFreshness.newest()))
            .add("held", static_cast<std::int64_t>(m_documentFreshness.held()))
            .add("era", static_cast<std::int64_t>(found.era));
    }
    const TimePoint now = RuntimeClock::now();
    m_documentFreshness.recordEra(found.era, now);
    const StartState start {m_documentFreshness.newest(), m_documentFreshness.proves(found.sentAt, found.era)};
    if (m_documentFreshness.held() == 0 && !mayAdoptFirstRead(start, found.version)) {
        Event("document", "first-read-unconfirmed")
            .add("version", static_cast<std::int64_t>(found.version))
            .add("known", static_cast<std::int64_t>(start.newest))
            .add("era", static_cast<std::int64_t>(found.era))
            .add("age_ms", now - m_startedAt);
        co_return true;
    }
    m_documentFreshness.recordVersion(found.version, found.sentAt, found.era);
    adopt(read.assume_value(), "store");
    publishRegainedTrust(now);
    co_return true;
}

void ZoneControl::adopt(const DocumentRead &read, const std::string &from)
{
    const auto newerKnownSince = m_documentFreshness.newerKnownSince();
    if (!m_documentFreshness.adopt(read.version)) {
        return;
    }
    m_document = read;
    m_compiled = new CompiledDocument({read.version, {}}, read.document);
    const TimePoint now = RuntimeClock::now();
    m_scheduler.setDocument(*read.document, now);
    updateShares(now);
    Event("document", "document-in-force")
        .add("version", static_cast<std::int64_t>(read.version))
        .add("from", from)
        .add("known_for_ms", newerKnownSince ? now - *newerKnownSince : Duration::zero())
        .add("routes", static_cast<std::int64_t>(read.document->routes.size()))
        .add("teams", static_cast<std::int64_t>(read.document->teams.size()));
    publish(now);
    sendBeacons(now);
    sendDigests(now);
    tellHubOfDocument(now);
}

// Each try asks the daemon that told of the newest document last, since the one before may have stopped.
boost::asio::awaitable<void> ZoneControl::fetchDocument()
{
    if (m_fetchingDocument) {
        co_return;
    }
    m_fetchingDocument = true;
    for (unsigned attempt = 0; m_documentSource && attempt < config::DocumentFetchTries && m_documentFreshness.fetchDue(); ++attempt) {
        const bool starting = m_documentFreshness.held() == 0 && attempt == 0;
        if (!starting && !actsAsHub(RuntimeClock::now())) {
            co_await sleepFor(randomDuration(config::DocumentFetchSpread));
        }
        co_await fetchDocumentFrom(Endpoint(*m_documentSource));
    }
    if (m_documentFreshness.fetchDue()) {
        co_await readDocument();
    }
    m_fetchingDocument = false;
}

boost::asio::awaitable<void> ZoneControl::fetchDocumentFrom(Endpoint from)
{
    const Envelope request = envelope(PackedDocumentRequest {m_documentFreshness.held()});
    const TimePoint requestedAt = RuntimeClock::now();
    const auto reply = co_await m_peers.request(from, request);
    if (!reply) {
        Event("document", "document-not-relayed")
            .add("from", toString(from))
            .add("reason", toString(reply.error()))
            .add("took_ms", RuntimeClock::now() - requestedAt)
            .add("newest", static_cast<std::int64_t>(m_documentFreshness.newest()));
    }
    const auto *answer = reply ? std::get_if<PackedDocument>(&reply.assume_value().message) : nullptr;
    if (answer == nullptr || answer->version <= m_documentFreshness.held()) {
        co_return;
    }
    auto text = decompress(answer->packed, answer->textBytes);
    if (!text) {
        Event("document", "relayed-document-damaged").add("from", toString(from)).add("version", static_cast<std::int64_t>(answer->version));
        co_return;
    }
    const auto parsed = m_directory.parse(std::move(*text));
    if (parsed) {
        adopt(parsed.assume_value(), toString(from));
    }
}

// All members of a hub fetch a new document at about the same time, so it is compressed only once.
const PackedDocument &ZoneControl::packedDocument()
{
    if (m_packedDocument.version != m_document.version) {
        m_packedDocument = {m_document.version, m_document.text->size(), compress(*m_document.text)};
    }
    return m_packedDocument;
}

void ZoneControl::recordProof(const DocumentProof &proof, TimePoint writtenAt, const Endpoint &from)
{
    recordEraAge(proof.era, proof.eraAgeMilliseconds);
    if (!proof.known) {
        return;
    }
    m_documentRead.backoff.recordRelayed(writtenAt - std::chrono::milliseconds(proof.ageMilliseconds));
    const std::uint64_t newest = m_documentFreshness.newest();
    m_documentFreshness.recordVersion(proof.version, writtenAt - std::chrono::milliseconds(proof.ageMilliseconds));
    if (m_documentFreshness.newest() > newest) {
        Event("document", "newer-document-known")
            .add("version", static_cast<std::int64_t>(proof.version))
            .add("held", static_cast<std::int64_t>(m_documentFreshness.held()))
            .add("from", toString(from))
            .add("proved_ms_ago", RuntimeClock::now() - writtenAt + std::chrono::milliseconds(proof.ageMilliseconds));
    }
    publishRegainedTrust(RuntimeClock::now());
    if (!m_documentFreshness.fetchDue()) {
        return;
    }
    if (proof.version >= m_documentFreshness.newest()) {
        // A hub's link is too slow to send a very large document to all its members, so each member reads a document of more
        // than RelayedDocumentBytes from the directory.
        m_documentSource = proof.bytes <= config::RelayedDocumentBytes ? std::optional(from) : std::nullopt;
    }
    if (!m_fetchingDocument) {
        boost::asio::co_spawn(m_context, fetchDocument(), boost::asio::detached);
    }
}

std::uint32_t ZoneControl::eraAgeMilliseconds(TimePoint now) const
{
    const auto eraStart = m_documentFreshness.eraStart();
    return eraStart ? wholeMilliseconds(now - *eraStart) : DocumentProof::UnknownEraAge;
}

// The start must not seem earlier than it was, so the age counts back from the receipt.
void ZoneControl::recordEraAge(StoreEra era, std::uint32_t ageMilliseconds)
{
    if (ageMilliseconds != DocumentProof::UnknownEraAge) {
        m_documentFreshness.recordEraStart(era, RuntimeClock::now() - std::chrono::milliseconds(ageMilliseconds));
    }
}

void ZoneControl::tellHubOfDocument(TimePoint now)
{
    const auto currentHub = hub(now);
    if (currentHub && !isSelf(*currentHub) && m_hub == currentHub->id && hubDocumentIsOlder()) {
        send(currentHub->peer, MemberDocument {m_documentFreshness.held(), m_documentFreshness.era(), eraAgeMilliseconds(now)});
    }
}

// The store may turn a hub away while its members can read it.
void ZoneControl::received(const Envelope &envelope, const MemberDocument &document)
{
    recordEraAge(document.era, document.eraAgeMilliseconds);
    if (document.version <= m_documentFreshness.newest()) {
        return;
    }
    m_documentFreshness.recordNewer(document.version, RuntimeClock::now());
    Event("document", "newer-document-at-member")
        .add("version", static_cast<std::int64_t>(document.version))
        .add("held", static_cast<std::int64_t>(m_documentFreshness.held()))
        .add("from", toString(envelope.replyTo));
    m_documentSource = envelope.replyTo;
    if (!m_fetchingDocument) {
        boost::asio::co_spawn(m_context, fetchDocument(), boost::asio::detached);
    }
}

DocumentProof ZoneControl::documentProof(TimePoint now) const
{
    DocumentProof proof;
    proof.era = m_documentFreshness.era();
    proof.eraAgeMilliseconds = eraAgeMilliseconds(now);
    if (const auto provedAt = m_documentFreshness.currentAt()) {
        proof.known = true;
        proof.version = m_documentFreshness.held();
        proof.ageMilliseconds = millisecondsRoundedUp(now - *provedAt);
        proof.bytes = static_cast<std::uint32_t>(m_document.text->size());
    }
    return proof;
}
}
