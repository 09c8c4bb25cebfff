#pragma once

#include <plumsill/messages.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <string>
#include <string_view>

namespace plumsill
{
/// Reason why bytes received from the network are rejected.
enum class CodecError
{
    TooShort,
    BadSignature,
    Malformed,
    TrailingBytes,
    NoSecret, ///< the receiver has no secret yet, so it can verify nothing
};

const char *toString(CodecError error);

template<class Value, class Error>
using Outcome = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::all_narrow>;

/// Serializes an envelope and prepends its truncated HMAC-SHA256 under the cell's secret.
std::string encode(const Envelope &envelope, const std::string &secret);
/// Verifies the signature, then parses the complete message. Never throws.
Outcome<Envelope, CodecError> decode(std::string_view bytes, const std::string &secret);
}
