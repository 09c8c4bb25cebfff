#pragma once

#include "directory_p.h"
#include "store_p.h"

#include <plumsill/quarantine_messages.h>
#include <plumsill/settings.h>

#include <memory>
#include <string>
#include <vector>

namespace plumsill
{
/// Keys of a zone fleet's directory in plumsill's own store.
namespace storekeys
{
inline constexpr const char *Document = "zone/document"; ///< INI text; the object's version is the document's version
inline constexpr const char *Daemons = "zone/daemons/"; ///< prefix, followed by the instance's name
inline constexpr const char *PeerSecret = "zone/secrets/peers";
inline constexpr const char *Quarantine = "zone/quarantine";
}

/// The directory in plumsill's own store. The store's reads must be linearizable, because a read serves as proof that
/// no later document existed when the read was sent.
class StoreDirectory
{
public:
    explicit StoreDirectory(const Endpoint &store);

    boost::asio::awaitable<DirectoryResult<DocumentRead>> document();
    boost::asio::awaitable<DirectoryResult<TargetsRead>> targets();
    boost::asio::awaitable<DirectoryResult<std::vector<RegisteredDaemon>>> daemons();
    boost::asio::awaitable<DirectoryResult<bool>> enroll(RegisteredDaemon daemon, bool firstStart);
    boost::asio::awaitable<DirectoryResult<bool>> withdraw(InstanceName name);
    boost::asio::awaitable<DirectoryResult<std::string>> peerSecret();
    boost::asio::awaitable<DirectoryResult<std::string>> getOrCreatePeerSecret(std::string proposal);
    boost::asio::awaitable<DirectoryResult<std::vector<SuspectRequest>>> quarantinedRequests();
    boost::asio::awaitable<DirectoryResult<bool>> storeQuarantinedRequests(std::vector<SuspectRequest> requests);
    /// Parses a stored document: its version, a line feed and the INI text.
    DirectoryResult<DocumentRead> parse(std::string text) const;
    void setStoreAddress(const Endpoint &store);
    /// Number of calls sent to the store.
    std::uint64_t calls() const { return m_calls; }
    /// This store never loses an acknowledged write.
    StoreEra era() const { return 0; }

private:
    std::shared_ptr<StoreConnection> m_store; ///< shared with running calls, which may end after m_store was replaced at a change of address
    std::uint64_t m_calls = 0;
    DocumentRead m_lastDocument;
};
}
