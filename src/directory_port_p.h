#pragma once

#include "../platform/object_directory.h"
#include "store_directory_p.h"

#include <functional>
#include <memory>
#include <utility>
#include <variant>

namespace plumsill
{
/// Access to the directory in either store: plumsill's own store or the platform's object API.
class DirectoryPort
{
    template<class Call>
    auto visit(Call call)
    {
        return std::visit([&call](auto &directory) { return call(*directory); }, m_directory);
    }

public:
    using Any = std::variant<std::unique_ptr<StoreDirectory>, std::unique_ptr<platform::ObjectDirectory>>;

    explicit DirectoryPort(Any directory)
        : m_directory(std::move(directory))
    { }

    /// Reads the document in force (the one that applies now). The answer proves that no later document existed when
    /// the read was sent.
    boost::asio::awaitable<DirectoryResult<DocumentRead>> document()
    {
        return visit([](auto &directory) { return directory.document(); });
    }
    boost::asio::awaitable<DirectoryResult<TargetsRead>> targets()
    {
        return visit([](auto &directory) { return directory.targets(); });
    }
    /// The registered daemons. The answer may be seconds old.
    boost::asio::awaitable<DirectoryResult<std::vector<RegisteredDaemon>>> daemons()
    {
        return visit([](auto &directory) { return directory.daemons(); });
    }
    /// Registers this daemon, replacing the entry of an earlier run. @p firstStart: no entry is expected, so creating
    /// one is tried before replacing one.
    boost::asio::awaitable<DirectoryResult<bool>> enroll(const RegisteredDaemon &daemon, bool firstStart)
    {
        return visit([&](auto &directory) { return directory.enroll(daemon, firstStart); });
    }
    /// Removes the daemon's entry from the registry; succeeds when there is none.
    boost::asio::awaitable<DirectoryResult<bool>> withdraw(const InstanceName &name)
    {
        return visit([&](auto &directory) { return directory.withdraw(name); });
    }
    /// Returns the secret that signs messages between daemons, by a cheap read that may be seconds old; DirectoryError::Missing
    /// if there was none yet.
    boost::asio::awaitable<DirectoryResult<std::string>> peerSecret()
    {
        return visit([](auto &directory) { return directory.peerSecret(); });
    }
    /// Returns that secret by a read of the newest state. If no secret exists yet, @p proposal is stored and
    /// becomes the secret.
    boost::asio::awaitable<DirectoryResult<std::string>> getOrCreatePeerSecret(const std::string &proposal)
    {
        return visit([&](auto &directory) { return directory.getOrCreatePeerSecret(proposal); });
    }
    /// The requests that were quarantined when they were stored last; DirectoryError::Missing if none ever were.
    boost::asio::awaitable<DirectoryResult<std::vector<SuspectRequest>>> quarantinedRequests()
    {
        return visit([](auto &directory) { return directory.quarantinedRequests(); });
    }
    /// Replaces them.
    boost::asio::awaitable<DirectoryResult<bool>> storeQuarantinedRequests(std::vector<SuspectRequest> requests)
    {
        return visit([&](auto &directory) { return directory.storeQuarantinedRequests(std::move(requests)); });
    }
    /// Parses a document in its stored form, as another daemon sent it.
    DirectoryResult<DocumentRead> parse(std::string text) const
    {
        return std::visit([&](const auto &directory) { return directory->parse(std::move(text)); }, m_directory);
    }
    /// Sets the store's address for later calls.
    void setStoreAddress(const Endpoint &address)
    {
        std::visit([&](auto &directory) { directory->setStoreAddress(address); }, m_directory);
    }
    /// Number of calls sent to the store.
    std::uint64_t calls() const
    {
        return std::visit([](const auto &directory) { return directory->calls(); }, m_directory);
    }
    /// Highest era of the store in any of its answers.
    StoreEra era() const
    {
        return std::visit([](const auto &directory) { return directory->era(); }, m_directory);
    }

private:
    Any m_directory;
};

/// Opens the directory that the settings name.
using OpenDirectory = std::function<DirectoryPort(boost::asio::io_context &context, const Settings &settings)>;
}
