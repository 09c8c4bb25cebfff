#pragma once

#include "directory_p.h"
#include "store_p.h"

#include <plumsill/settings.h>

#include <memory>
#include <string>
#include <vector>

namespace plumsill
{
/// Keys of the zone form in the product's own store.
namespace storekeys
{
inline constexpr const char *Document = "zone/document"; ///< INI text; the object's version is the document's
inline constexpr const char *Daemons = "zone/daemons/"; ///< followed by the instance
inline constexpr const char *PeerSecret = "zone/secrets/peers";
}

/// The directory in the product's own store, whose reads have to be linearizable: a read proves that no later document
/// existed.
class StoreDirectory
{
public:
    explicit StoreDirectory(const Endpoint &store);

    boost::asio::awaitable<DirectoryResult<DocumentRead>> document();
    boost::asio::awaitable<DirectoryResult<TargetsRead>> targets();
    boost::asio::awaitable<DirectoryResult<std::vector<RegisteredDaemon>>> daemons();
    boost::asio::awaitable<DirectoryResult<bool>> enroll(RegisteredDaemon daemon, bool first);
    boost::asio::awaitable<DirectoryResult<bool>> withdraw(InstanceName name);
    boost::asio::awaitable<DirectoryResult<std::string>> peerSecret(std::string proposal);
    /// The text is the document's behind its version and a line feed.
    DirectoryResult<DocumentRead> parse(std::string text) const;
    void moveTo(const Endpoint &store);
    std::uint64_t calls() const { return m_calls; }

private:
    std::shared_ptr<StoreConnection> m_store; ///< shared with the calls that run
    std::uint64_t m_calls = 0;
    DocumentRead m_lastDocument;
};
}
