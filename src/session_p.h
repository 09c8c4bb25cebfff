#pragma once

#include "upstream_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace plumsill
{
class TrafficThread;

/// A request that runs; its caller's connection is looked at now and then, as there is no one to answer once it is closed.
struct ActiveRequest : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    int socket = -1;
    TimePoint startedAt;
    AttemptHandle handle;
};

/// Serves one caller's connection until it ends.
boost::asio::awaitable<void> runSession(TrafficThread &thread, boost::asio::ip::tcp::socket socket);

/// A refusal made by this daemon.
struct Refusal {
    unsigned status = 500;
    std::string code; ///< short, for programs
    std::string message;
    std::optional<RunOutcome> outcome; ///< none for faults of the caller's message
    Duration retryAfter {}; ///< zero: none told

    auto operator<=>(const Refusal &) const = default;
};

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using CallerRequestHeader = boost::beast::http::request_header<>;

/// Fields that end at this hop, among them those that Connection names.
void removeHopByHopFields(boost::beast::http::fields &fields);
/// The answer that tells of a refusal.
TargetAnswer refusalAnswer(const Refusal &refusal);
/// Finds messages that two readers could frame differently.
std::optional<Refusal> checkFraming(const CallerRequestHeader &header);
/// The message as bytes, for one write.
std::string wireText(const TargetAnswer &answer);
std::string wireText(const TargetRequest &request);
/// The caller's request as a target gets it: no key, no hop-by-hop fields.
TargetRequest requestForTarget(const CallerRequest &request, const std::string &requestId, const std::string &callerAddress);
}
