#pragma once

#include <plumsill/messages.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <string>
#include <string_view>

namespace plumsill
{
/// Why bytes from the network are not a message.
enum class CodecError
{
    TooShort,
    BadSignature,
    Malformed,
    TrailingBytes,
};

const char *toString(CodecError error);

template<class Value, class Error>
using Outcome = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::all_narrow>;

/// Serialized message, preceded by its truncated HMAC-SHA256 under the cell's secret.
std::string encode(const Envelope &envelope, const std::string &secret);
/// Checks the MAC, then the whole message; never throws.
Outcome<Envelope, CodecError> decode(std::string_view bytes, const std::string &secret);
}
