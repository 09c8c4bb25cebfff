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

// A daemon that knows of a later document but can't get it must not extend its trust in the keys of the held one, even if
// a lagging replica of the store still confirms it. A later document that is known to be invalid doesn't count.
void DocumentHolder::confirm(TimePoint since)
{
    if (m_latestReported && isNewer(*m_latestReported) && !m_invalid.contains(*m_latestReported)) {
        return;
    }
    m_confirmed = m_confirmed ? std::max(*m_confirmed, since) : since;
}

HolderEffects DocumentHolder::offeredByStore(const DocumentStamp &stamp, const std::string &text, TimePoint sent)
{
    auto effects = adopt(stamp, text);
    confirmedByStore(stamp, sent);
    return effects;
}

// An invalid document is never adopted. If the store's current document is invalid, reading it confirms that the held
// document is still in force.
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
    const bool fetchPending = m_fetching && m_fetching->version >= stamp.version && now < m_fetchSent + config::DocumentFetchRetry;
    if (fetchPending) {
        return {};
    }
    m_fetching = stamp;
    m_fetchSent = now;
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
    if (!m_held || !m_confirmed) {
        return std::nullopt;
    }
    return *m_confirmed + config::DocumentTrustLifetime;
}
}
