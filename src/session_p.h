#pragma once

#include "upstream_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <boost/intrusive/list.hpp>

#include <optional>
#include <string>

namespace plumsill
{
class TrafficThread;
struct Snapshot;

/// Interface by which a traffic thread enforces the time limits of its callers' connections.
class SessionBase : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~SessionBase() = default;
    /// Cancels the connection's reads and writes whose deadline has passed. From the answerBy time of @p snapshot on, ends all running requests, because the
    /// daemon is about to stop. @p closing: no further request is read.
    virtual void enforceLimits(TimePoint now, const Snapshot &snapshot, bool closing) = 0;
};

/// Serves one caller's connection until it is closed.
boost::asio::awaitable<void> runSession(TrafficThread &thread, boost::asio::ip::tcp::socket socket);

/// A refusal made by this daemon.
struct Refusal {
    unsigned status = 500;
    std::string code; ///< error code for programs
    std::string message; ///< error message for people
    std::optional<RunOutcome> outcome; ///< whether the request may have run; empty when the caller's request is at fault
    Duration retryAfter {}; ///< zero: no Retry-After field

    auto operator<=>(const Refusal &) const = default;
};

/// Refusal of a large request while the memory for bytes of callers and targets is short.
const Refusal &memoryShort();
/// Refusal of a request that arrives too late in a planned stop.
const Refusal &stopping();

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using CallerRequestHeader = boost::beast::http::request_header<>;

/// Values of the fields that this daemon adds to a request.
struct AddedFields {
    std::string requestId; ///< used when the caller's request has no id
    std::string callerAddress; ///< IP address of the caller
    TeamName team; ///< empty on routes open to all
};

/// Removes hop-by-hop fields, including those that the Connection field names.
void removeHopByHopFields(boost::beast::http::fields &fields);
/// Makes the answer for a refusal, with a JSON body.
TargetAnswer refusalAnswer(const Refusal &refusal, const Dialect &dialect = {});
/// Refuses messages that two HTTP implementations could frame differently, and requests that are not served at all, such as upgrades.
std::optional<Refusal> checkFraming(const CallerRequestHeader &header);
/// Converts a request target in absolute form ("http://host/path") to origin form. Returns false when the target is not in absolute form.
bool convertToOriginForm(CallerRequestHeader &header);
/// The complete message as sent over the connection.
std::string wireText(const TargetAnswer &answer);
std::string wireText(const TargetRequest &request);
/// The caller's request as forwarded to a target: without keys and hop-by-hop fields, with the added fields.
TargetRequest requestForTarget(const CallerRequest &request, const AddedFields &addedFields, const Dialect &dialect);
}
