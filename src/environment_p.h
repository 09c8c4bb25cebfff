#pragma once

#include "store_p.h"

#include <plumsill/environment.h>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace plumsill
{
using StoreCaller = std::function<boost::asio::awaitable<ObjectResult>(ObjectCall)>;
/// Counts the members of this daemon's epoch that hold at least the version in the stamp, including the daemon itself.
using HoldersQuery = std::function<Holders(const DocumentStamp &)>;

/// Returns a function that calls the store within the budget of the daemon's own work.
StoreCaller makeStoreCaller(StoreConnection &store);
/// Returns a function that calls the store within the budget of operators' changes.
StoreCaller makeOperatorStoreCaller(StoreConnection &store);

/// Runs one change to its reply.
boost::asio::awaitable<ChangeReply> runChange(ChangeOrder order, StoreCaller store, HoldersQuery holders);

/// A document read from the store, with the time at which the read of its manifest was sent.
struct StoredDocument {
    Manifest manifest;
    std::string text;
    TimePoint sent;
};

boost::asio::awaitable<StoreResult<Manifest>> readManifest(StoreCaller store, std::string environment);
boost::asio::awaitable<StoreResult<StoredDocument>> readDocument(StoreCaller store, std::string environment);

/// Result of a read of the environment's document.
struct DocumentRefresh {
    DocumentStamp stored; ///< stamp of the document in the store
    TimePoint sent; ///< time at which the read was sent
    HolderEffects effects;
};

/// Reads the environment's manifest, and the text only if @p holder needs it.
boost::asio::awaitable<StoreResult<DocumentRefresh>> refreshDocument(StoreCaller store, std::string environment, DocumentHolder &holder);
}
