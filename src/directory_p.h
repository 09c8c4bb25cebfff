#pragma once

#include <plumsill/document.h>
#include <plumsill/hubs.h>
#include <plumsill/rejected_entries.h>
#include <plumsill/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The directory: interface to the data that the fleet keeps in an object store, converted to plumsill's types.
namespace plumsill
{
/// Why a call to the directory failed.
enum class DirectoryError
{
    Unreachable, ///< no connection or no complete answer in time; a write may have taken effect
    Rejected, ///< too many calls, or the store refuses this instance; nothing was written
    Malformed, ///< the answer can't be parsed
    Missing, ///< the object does not exist
    Conflict, ///< the object exists already or has changed
};

const char *toString(DirectoryError error);

template<class Value>
using DirectoryResult = boost::outcome_v2::basic_result<Value, DirectoryError, boost::outcome_v2::policy::all_narrow>;

/// The document as read from the directory.
struct DocumentRead {
    std::uint64_t version = 0;
    std::shared_ptr<const Document> document;
    std::shared_ptr<const std::string> text; ///< the document as stored; sent to other daemons in this form
    TimePoint sentAt; ///< when the read was sent; no later document existed at that time
    StoreEra era = 0; ///< era of the store that answered
};

/// The platform's listing of targets.
struct TargetsRead {
    std::vector<Target> targets;
    std::vector<RejectedEntry> rejected; ///< entries that name no target to use
    TimePoint sentAt;
    StoreEra era = 0; ///< era of the store that answered
};
}
