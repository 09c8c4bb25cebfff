#pragma once

#include <plumsill/quarantine_messages.h>

#include <boost/json/value.hpp>

#include <cstdint>
#include <vector>

/// JSON form of quarantined requests in the directory, the same in every store.
namespace plumsill
{
/// @p unixMilliseconds: the time of writing, to which the ages refer.
boost::json::value toJson(const std::vector<SuspectRequest> &requests, std::int64_t unixMilliseconds);
/// Decodes the requests, whose ages then refer to @p unixMilliseconds. Invalid ones are left out.
std::vector<SuspectRequest> suspectRequests(const boost::json::value &stored, std::int64_t unixMilliseconds);
/// Unix time in milliseconds.
std::int64_t unixNow();
}
