#include <plumsill/config.h>
#include <plumsill/environment.h>

#include <algorithm>

namespace plumsill
{
namespace
{
constexpr std::size_t MaxInvalidStamps = 16;

std::string describe(const DocumentStamp &stamp)
{
    return "document version " + std::to_string(stamp.version);
}
}

bool DocumentHolder::isNewer(const DocumentStamp &stamp) const
{
    return stamp.version > this->stamp().version;
}

// Adopts a later document only if its text matches the digest and is valid, whether it comes from a peer or the store.
HolderEffects DocumentHolder::adopt(const DocumentStamp &stamp, const std::string &text)
{
    if (!isNewer(stamp) || m_invalid.contains(stamp)) {
        return {};
    }
    if (sha256Hex(text) != stamp.digest) {
        return {RejectOffer {stamp, describe(stamp) + " has a text that does not match its digest"}};
    }
    auto parsed = parseDocument(text, "document");
    if (!parsed.valid()) {
        if (m_invalid.size() >= MaxInvalidStamps) {
            m_invalid.erase(m_invalid.begin());
        }
        m_invalid.insert(stamp);
        return {RejectOffer {stamp, describe(stamp) + " is invalid: " + toString(parsed.problems.front())}};
    }
    auto document = std::make_shared<const Document>(std::move(parsed.document));
    m_held = std::make_shared<const HeldDocument>(HeldDocument {stamp, text, std::move(document)});
    return {AdoptDocument {m_held}};
}

// Extends the trust in the keys of the held document, unless a member reported a later document. In that case the held
// document must not be trusted for longer, even if a lagging replica of the store still confirms it. A later document that
// is known to be invalid doesn't count.
void DocumentHolder::confirm(TimePoint since)
{
    if (m_latestReported && isNewer(*m_latestReported) && !m_invalid.contains(*m_latestReported)) {
        return;
    }
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, since) : since;
}

HolderEffects DocumentHolder::offeredByStore(const DocumentStamp &stamp, const std::string &text, TimePoint sent)
{
    auto effects = adopt(stamp, text);
    confirmedByStore(stamp, sent);
    return effects;
}

// An invalid document is never adopted. If the current document in the store is invalid, the held document stays in force,
// and reading the invalid one confirms this.
bool DocumentHolder::confirmedByStore(const DocumentStamp &stamp, TimePoint sent)
{
    if (m_held && (stamp == m_held->stamp || m_invalid.contains(stamp))) {
        confirm(sent);
        return true;
    }
    return !isNewer(stamp) || m_invalid.contains(stamp);
}

HolderEffects DocumentHolder::reportedByMember(const MemberId &member, const DocumentStamp &stamp, TimePoint now)
{
    if (!isNewer(stamp) || m_invalid.contains(stamp)) {
        return {};
    }
    if (!m_latestReported || stamp.version > m_latestReported->version) {
        m_latestReported = stamp;
    }
    const bool fetchPending = m_fetching && m_fetching->version >= stamp.version && now < m_fetchSentAt + config::DocumentFetchRetry;
    if (fetchPending) {
        return {};
    }
    m_fetching = stamp;
    m_fetchSentAt = now;
    return {FetchDocument {member, stamp}};
}

HolderEffects DocumentHolder::offeredByMember(const DocumentStamp &stamp, const std::string &text)
{
    return adopt(stamp, text);
}

void DocumentHolder::confirmedByMembers(const DocumentStamp &stamp, TimePoint since)
{
    if (m_held && stamp == m_held->stamp) {
        confirm(since);
    }
}

bool DocumentHolder::trusted(TimePoint now) const
{
    const auto until = trustedUntil();
    return until && now <= *until;
}

std::optional<TimePoint> DocumentHolder::trustedUntil() const
{
    if (!m_held || !m_confirmedAt) {
        return std::nullopt;
    }
    return *m_confirmedAt + config::DocumentTrustLifetime;
}
}
