#pragma once

#include "store_p.h"

#include <plumsill/environment.h>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace plumsill
{
using StoreCaller = std::function<boost::asio::awaitable<ObjectResult>(ObjectCall)>;
/// Members of this daemon's epoch that hold at least the stamp's version, the daemon itself included.
using HoldersQuery = std::function<Holders(const DocumentStamp &)>;

/// Calls within the budget of the daemon's own work.
StoreCaller makeStoreCaller(StoreConnection &store);
/// Calls within the budget of operators' changes.
StoreCaller makeOperatorStoreCaller(StoreConnection &store);

/// Carries one change through to its reply.
boost::asio::awaitable<ChangeReply> runChange(ChangeOrder order, StoreCaller store, HoldersQuery holders);

/// A document as the store holds it, with the time at which its manifest's read was sent.
struct StoredDocument {
    Manifest manifest;
    std::string text;
    TimePoint sent;
};

boost::asio::awaitable<StoreResult<Manifest>> readManifest(StoreCaller store, std::string environment);
boost::asio::awaitable<StoreResult<StoredDocument>> readDocument(StoreCaller store, std::string environment);

/// What a read of the environment's document told.
struct DocumentRefresh {
    DocumentStamp stored; ///< the store's
    TimePoint sent; ///< when the read was sent
    HolderEffects effects;
};

/// Reads the environment's manifest, and the text only where it is news to @p holder.
boost::asio::awaitable<StoreResult<DocumentRefresh>> refreshDocument(StoreCaller store, std::string environment, DocumentHolder &holder);
}
