#include "store_directory_p.h"

#include "registration_p.h"
#include "suspects_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace plumsill
{
namespace json = boost::json;

namespace
{
std::shared_ptr<StoreConnection> openStore(const Endpoint &store)
{
    StoreSettings settings;
    settings.endpoint = store;
    return std::make_shared<StoreConnection>(settings);
}

DirectoryError errorOf(const StoreError &error)
{
    switch (error.fault) {
    case StoreFault::Unreachable:
    case StoreFault::NoAnswer:
        return DirectoryError::Unreachable;
    case StoreFault::Conflict:
        return DirectoryError::Conflict;
    case StoreFault::NotFound:
        return DirectoryError::Missing;
    case StoreFault::Malformed:
        return DirectoryError::Malformed;
    case StoreFault::TooLarge:
    case StoreFault::Expired:
    case StoreFault::Stale:
    case StoreFault::Throttled:
        return DirectoryError::Rejected;
    }
    return DirectoryError::Rejected;
}
}

StoreDirectory::StoreDirectory(const Endpoint &store)
    : m_store(openStore(store))
{ }

void StoreDirectory::setStoreAddress(const Endpoint &store)
{
    m_store = openStore(store);
}

boost::asio::awaitable<DirectoryResult<DocumentRead>> StoreDirectory::document()
{
    const auto store = m_store;
    const TimePoint sentAt = RuntimeClock::now();
    ++m_calls;
    auto read = co_await store->read(storekeys::Document);
    if (read.has_error()) {
        co_return errorOf(read.error());
    }
    if (!m_lastDocument.text || m_lastDocument.version != read.value().version) {
        auto parsed = parse(std::to_string(read.value().version) + "\n" + read.value().value);
        if (!parsed) {
            co_return parsed.error();
        }
        m_lastDocument = std::move(parsed).assume_value();
    }
    DocumentRead result = m_lastDocument;
    result.sentAt = sentAt;
    co_return result;
}

DirectoryResult<DocumentRead> StoreDirectory::parse(std::string text) const
{
    const auto end = text.find('\n');
    std::uint64_t version = 0;
    const char *last = text.data() + (end == std::string::npos ? 0 : end);
    const auto [parsedEnd, error] = std::from_chars(text.data(), last, version);
    if (end == std::string::npos || error != std::errc() || parsedEnd != last || version == 0) {
        return DirectoryError::Malformed;
    }
    auto parsed = parseDocument(text.substr(end + 1), "document");
    if (!parsed.problems.empty()) {
        return DirectoryError::Malformed;
    }
    DocumentRead read;
    read.version = version;
    read.document = std::make_shared<const Document>(std::move(parsed.document));
    read.text = std::make_shared<const std::string>(std::move(text));
    return read;
}

boost::asio::awaitable<DirectoryResult<TargetsRead>> StoreDirectory::targets()
{
    const auto store = m_store;
    TargetsRead read;
    read.sentAt = RuntimeClock::now();
    ++m_calls;
    auto targets = co_await store->targets();
    if (targets.has_error()) {
        co_return errorOf(targets.error());
    }
    read.targets = std::move(targets.value().targets);
    read.rejected = std::move(targets.value().rejected);
    co_return read;
}

boost::asio::awaitable<DirectoryResult<std::vector<RegisteredDaemon>>> StoreDirectory::daemons()
{
    const auto store = m_store;
    ++m_calls;
    const auto list = co_await store->list(storekeys::Daemons);
    if (list.has_error()) {
        co_return errorOf(list.error());
    }
    std::vector<RegisteredDaemon> daemons;
    for (const auto &object : list.value().objects) {
        boost::system::error_code error;
        const json::value entry = json::parse(object.value, error);
        const auto name = object.key.substr(std::string_view(storekeys::Daemons).size());
        if (auto daemon = error ? std::nullopt : registeredDaemon(name, entry)) {
            daemons.push_back(std::move(*daemon));
        }
    }
    co_return daemons;
}

// Only this daemon writes its entry. A conflict therefore means that the entry was written by an earlier run, or by an
// earlier attempt of this run whose answer was lost.
boost::asio::awaitable<DirectoryResult<bool>> StoreDirectory::enroll(RegisteredDaemon daemon, bool /*first*/)
{
    const auto store = m_store;
    const std::string key = storekeys::Daemons + daemon.id.name.value;
    const std::string value = json::serialize(toJson(daemon));
    ++m_calls;
    const auto created = co_await store->create(key, value);
    if (created.has_value()) {
        co_return true;
    }
    if (created.error().fault != StoreFault::Conflict) {
        co_return errorOf(created.error());
    }
    m_calls += 2;
    const auto existing = co_await store->read(key);
    if (existing.has_error()) {
        co_return errorOf(existing.error());
    }
    if (existing.value().value == value) {
        co_return true;
    }
    const auto replaced = co_await store->replace(key, value, existing.value().version);
    if (replaced.has_error()) {
        co_return errorOf(replaced.error());
    }
    co_return true;
}

boost::asio::awaitable<DirectoryResult<bool>> StoreDirectory::withdraw(InstanceName name)
{
    const auto store = m_store;
    const std::string key = storekeys::Daemons + name.value;
    m_calls += 2;
    const auto existing = co_await store->read(key);
    if (existing.has_error() && existing.error().fault == StoreFault::NotFound) {
        co_return true;
    }
    if (existing.has_error()) {
        co_return errorOf(existing.error());
    }
    const auto removed = co_await store->remove(key, existing.value().version);
    if (removed.has_error() && removed.error().fault != StoreFault::NotFound) {
        co_return errorOf(removed.error());
    }
    co_return true;
}

boost::asio::awaitable<DirectoryResult<std::string>> StoreDirectory::peerSecret()
{
    const auto store = m_store;
    ++m_calls;
    auto existing = co_await store->read(storekeys::PeerSecret);
    if (existing.has_error()) {
        co_return errorOf(existing.error());
    }
    co_return std::move(existing.value().value);
}

boost::asio::awaitable<DirectoryResult<std::string>> StoreDirectory::getOrCreatePeerSecret(std::string proposal)
{
    const auto store = m_store;
    ++m_calls;
    const auto created = co_await store->create(storekeys::PeerSecret, proposal);
    if (created.has_value()) {
        co_return proposal;
    }
    if (created.error().fault != StoreFault::Conflict) {
        co_return errorOf(created.error());
    }
    auto existing = co_await peerSecret();
    co_return existing;
}

boost::asio::awaitable<DirectoryResult<std::vector<SuspectRequest>>> StoreDirectory::quarantinedRequests()
{
    const auto store = m_store;
    ++m_calls;
    const auto stored = co_await store->read(storekeys::Quarantine);
    if (stored.has_error()) {
        co_return errorOf(stored.error());
    }
    boost::system::error_code error;
    const json::value requests = json::parse(stored.value().value, error);
    if (error) {
        co_return DirectoryError::Malformed;
    }
    co_return suspectRequests(requests, unixNow());
}

boost::asio::awaitable<DirectoryResult<bool>> StoreDirectory::storeQuarantinedRequests(std::vector<SuspectRequest> requests)
{
    const auto store = m_store;
    const std::string value = json::serialize(toJson(requests, unixNow()));
    m_calls += 2;
    const auto stored = co_await store->read(storekeys::Quarantine);
    if (stored.has_error() && stored.error().fault != StoreFault::NotFound) {
        co_return errorOf(stored.error());
    }
    if (stored.has_error()) {
        const auto created = co_await store->create(storekeys::Quarantine, value);
        if (created.has_error()) {
            co_return errorOf(created.error());
        }
        co_return true;
    }
    const auto written = co_await store->replace(storekeys::Quarantine, value, stored.value().version);
    if (written.has_error()) {
        co_return errorOf(written.error());
    }
    co_return true;
}
}
