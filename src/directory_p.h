#pragma once

#include <plumsill/document.h>
#include <plumsill/hubs.h>
#include <plumsill/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What the fleet keeps on the platform, in the product's words.
namespace plumsill
{
/// Why a call to the platform's service gave no result.
enum class DirectoryError
{
    Unreachable, ///< no connection, or none whole answer in time: a write may have been done
    Rejected, ///< too many calls, or the service refuses this instance: nothing was done
    Malformed, ///< the answer can't be read
    Missing, ///< there is no such object
    Conflict, ///< the object is there already, or has changed
};

const char *toString(DirectoryError error);

template<class Value>
using DirectoryResult = boost::outcome_v2::basic_result<Value, DirectoryError, boost::outcome_v2::policy::all_narrow>;

/// The document as the operators wrote it.
struct DocumentRead {
    std::uint64_t version = 0;
    std::shared_ptr<const Document> document;
    std::shared_ptr<const std::string> text; ///< as it is passed on to other daemons
    TimePoint sentAt; ///< when the read was sent: no later document existed then
};

/// The platform's list of targets.
struct TargetsRead {
    std::vector<Target> targets;
    unsigned rejected = 0; ///< entries that can't be used
    TimePoint sentAt;
};
}
