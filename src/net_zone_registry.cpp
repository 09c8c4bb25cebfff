#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

// This daemon's entry in the registry, the entries of the others, and the key of the messages between them.
namespace plumsill
{
namespace
{
constexpr std::size_t SecretDigits = 32;

std::string randomSecret(std::mt19937_64 &random)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::random_device device;
    std::string secret;
    for (std::size_t i = 0; i < SecretDigits; ++i) {
        secret += Digits[(device() ^ random()) & 15];
    }
    return secret;
}
}

// At the fleet's first start no daemon finds a secret. Each waits for a random time before it tries to create one, so that
// only a few try.
boost::asio::awaitable<DirectoryResult<std::string>> ZoneControl::peerSecret()
{
    auto secret = co_await m_directory.peerSecret();
    if (!secret && secret.error() == DirectoryError::Missing) {
        // A fleet that runs already writes its secret again, if the store has lost it. A store without eras loses nothing.
        const bool mayBeLost = !m_settings.firstStart && m_directory.era() > 0;
        const Duration others = mayBeLost ? Duration(config::SecretReturnTime) : Duration::zero();
        co_await sleepFor(others + randomDuration(config::SecretCreationSpread));
        secret = co_await m_directory.peerSecret();
    }
    if (!secret && secret.error() == DirectoryError::Missing) {
        secret = co_await m_directory.getOrCreatePeerSecret(randomSecret(m_random));
    }
    co_return secret;
}

// A daemon that restarts mostly finds its entry in the registry as it was. Writing it again would cost a write for each
// daemon when all of them restart; the others learn the new incarnation from its messages.
boost::asio::awaitable<bool> ZoneControl::enroll()
{
    if (!m_settings.firstStart) {
        co_await readRegistry();
    }
    if (m_entryListed) {
        co_return true;
    }
    const auto enrolled = co_await writeEntry(m_settings.firstStart);
    co_return enrolled.has_value();
}

boost::asio::awaitable<DirectoryResult<bool>> ZoneControl::writeEntry(bool firstStart)
{
    const TimePoint now = RuntimeClock::now();
    m_documentFreshness.recordEra(m_directory.era(), now);
    RegisteredDaemon entry = m_self;
    entry.settledEra = m_documentFreshness.settledEra(now);
    const auto written = co_await m_directory.enroll(entry, firstStart);
    if (written) {
        m_registeredEra = std::max(m_registeredEra, entry.settledEra);
    }
    co_return written;
}

// Daemons that start can't tell an old era from one that has just begun, unless the registry shows it. One daemon writes it, so that the
// number of writes doesn't grow with the fleet.
void ZoneControl::recordSettledEra(TimePoint now)
{
    if (m_documentFreshness.settledEra(now) > m_registeredEra && readsForFleet(now)) {
        m_entryOutdated = true;
    }
}

// The peer secret is fetched first, because messages of other daemons can't be verified without it. Until the daemon is
// enrolled, it places its requests itself instead of sending them to a hub.
boost::asio::awaitable<void> ZoneControl::runRegistry()
{
    while (!m_enrolled && !m_leaving) {
        const auto secret = co_await peerSecret();
        const bool usable = secret && !secret.assume_value().empty();
        bool done = false;
        if (usable) {
            m_secret = secret.assume_value();
            m_peers.setSecret(m_secret);
            m_secretEra = m_directory.era();
            done = co_await enroll();
        }
        recordStoreResult(done, "enroll", done ? "" : usable ? "not enrolled" : secret ? "the stored peer secret is empty" : toString(secret.error()));
        if (done) {
            m_enrolled = true;
            recordRegistryEra(RuntimeClock::now());
            Event("registry", "enrolled").add("zone", m_settings.zone.value).add("entry_written", !m_entryListed);
            break;
        }
        co_await sleepFor(config::RegistrationRetry + randomDuration(config::RegistrationRetry / 2));
    }
    if (m_settings.firstStart) {
        // At the fleet's first start all daemons enroll at the same time, so an immediate read would list only some of them.
        co_await sleepFor(config::FleetStartTime);
    }
    if (!m_registryRead) {
        co_await readRegistry();
    }
    co_await keepQuarantine();
    while (true) {
        co_await sleepFor(config::RegistryReadInterval);
        recordRegistryEra(RuntimeClock::now());
        recordSettledEra(RuntimeClock::now());
        co_await restoreSecret();
        co_await keepQuarantine();
        co_await rewriteEntry();
        const TimePoint now = RuntimeClock::now();
        // One hub reads the registry periodically for the entire fleet. Another daemon reads it only when the registry
        // hash that a hub reports differs from the hash of its own copy.
        const bool due = readsForFleet(now) && now - m_registryReadAt >= config::FleetRegistryInterval;
        if (due || !m_registryRead || m_rewrite.knowsPart() || now >= m_nextRegistryReadAt) {
            co_await readRegistry();
        }
    }
}

void ZoneControl::recordRegistryEra(TimePoint now)
{
    const StoreEra era = std::max(m_directory.era(), m_documentFreshness.era());
    m_rewrite.recordEra(era, m_hubs.registered().size(), std::uniform_real_distribution<double>()(m_random), now);
}

boost::asio::awaitable<void> ZoneControl::rewriteEntry()
{
    const bool due = m_entryOutdated || m_rewrite.due(RuntimeClock::now());
    if (!due || m_leaving) {
        co_return;
    }
    const auto written = co_await writeEntry(false);
    recordStoreResult("enroll", written);
    if (written) {
        m_entryOutdated = false;
        m_rewrite.recordWritten();
    }
}

// Daemons that start wait for the secret, so that they don't create another one.
boost::asio::awaitable<void> ZoneControl::restoreSecret()
{
    const StoreEra era = std::max(m_directory.era(), m_documentFreshness.era());
    if (era == m_secretEra || !readsForFleet(RuntimeClock::now())) {
        co_return;
    }
    const auto stored = co_await m_directory.getOrCreatePeerSecret(m_secret);
    recordStoreResult("secret", stored);
    if (stored) {
        m_secretEra = era;
        Event("registry", "secret-checked").add("era", static_cast<std::int64_t>(era)).add("same", stored.assume_value() == m_secret);
    }
}

boost::asio::awaitable<void> ZoneControl::readRegistry()
{
    const auto daemons = co_await m_directory.daemons();
    if (!daemons) {
        recordStoreResult(false, "daemons", toString(daemons.error()));
        co_return;
    }
    const auto &listed = daemons.assume_value();
    const auto sameEntry = [this](const RegisteredDaemon &daemon) {
        return daemon.id.name == m_self.id.name && daemon.zone == m_self.zone && daemon.peer == m_self.peer && daemon.capacity == m_self.capacity;
    };
    m_entryListed = std::any_of(listed.begin(), listed.end(), sameEntry);
    m_entryOutdated = m_entryOutdated || (m_enrolled && !m_entryListed);
    const std::uint32_t before = m_hubs.registryHash();
    const TimePoint now = RuntimeClock::now();
    for (const auto &daemon : listed) {
        m_registeredEra = std::max(m_registeredEra, daemon.settledEra);
    }
    m_documentFreshness.recordEra(m_directory.era(), now);
    m_documentFreshness.recordSettledEra(m_registeredEra, now);
    recordRegistryEra(now);
    m_rewrite.recordRead(now);
    m_hubs.setRegistered(listed, m_rewrite.mayLackEntries(now));
    m_registryRead = true;
    m_registryReadAt = RuntimeClock::now();
    ++m_registryReads;
    m_nextRegistryReadAt = TimePoint::max();
    recordHub(m_registryReadAt);
    if (m_registryReads == 1) {
        sendDigests(m_registryReadAt); // a hub learns from the answers what it has missed
        startDueReads(m_registryReadAt); // its members wait for what it reads
    }
    if (m_hubs.registryHash() != before) {
        Event("registry", "registry-read").add("daemons", static_cast<std::int64_t>(m_hubs.registered().size()));
        updateShares(RuntimeClock::now());
    }
}

// A daemon stays registered as long as it takes requests. If it left the registry earlier, the other daemons would
// divide the teams' rates among themselves while this daemon still spends tokens.
boost::asio::awaitable<void> ZoneControl::withdraw()
{
    while (m_withdrawing) {
        co_await sleepFor(config::ControlTick);
    }
    if (m_withdrawn) {
        co_return;
    }
    m_withdrawing = true;
    const auto withdrawn = co_await m_directory.withdraw(m_self.id.name);
    m_withdrawing = false;
    m_withdrawn = true;
    if (!withdrawn) {
        Event("registry", "not-withdrawn").add("reason", toString(withdrawn.error()));
    }
}
}
