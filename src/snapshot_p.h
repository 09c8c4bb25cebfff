#pragma once

#include <plumsill/document.h>
#include <plumsill/health.h>
#include <plumsill/instance_limits.h>
#include <plumsill/keys.h>
#include <plumsill/messages.h>
#include <plumsill/routing.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>

namespace plumsill
{
/// A document with the lookup tables of the traffic threads.
struct CompiledDocument : boost::intrusive_ref_counter<CompiledDocument> {
    CompiledDocument(DocumentStamp documentStamp, std::shared_ptr<const Document> parsed)
        : stamp(std::move(documentStamp))
        , document(std::move(parsed))
        , routes(document)
        , keys(*document)
    { }
    /// Priority set for the team itself; empty when the document sets none.
    std::optional<unsigned> priorityOf(const TeamName &team) const
    {
        const auto found = std::find_if(document->teams.begin(), document->teams.end(), [&team](const Team &entry) { return entry.name == team; });
        return found == document->teams.end() ? std::nullopt : found->priority;
    }
    const DocumentStamp stamp;
    const std::shared_ptr<const Document> document;
    const RouteTable routes;
    const KeyTable keys;
};

/// State that control publishes to the traffic threads; immutable once published.
struct Snapshot : boost::intrusive_ref_counter<Snapshot> {
    boost::intrusive_ptr<const CompiledDocument> compiled; ///< null before the first document
    std::unordered_map<ServiceName, std::shared_ptr<const ServiceView>> services;
    TimePoint trustedUntil; ///< from this time on, requests with a key are refused because the document's keys are unconfirmed
    TimePoint publishedAt = TimePoint::max();
    TimePoint proofExpectedUntil; ///< after a pause of the process: time until which a new confirmation of the keys is expected
    bool leaving = false; ///< the daemon is draining
    TimePoint closeAt = TimePoint::max(); ///< from this time on, connections take no further request
    TimePoint takeBy = TimePoint::max(); ///< from this time on, requests are refused
    /// At this time, all running requests get a final answer. A connection's answers are sent in the order of its requests. An unanswered request would
    /// therefore hold back the ready answers to the pipelined requests behind it until the daemon has stopped.
    TimePoint answerBy = TimePoint::max();
    InstanceLimits limits;
};

using SnapshotPtr = boost::intrusive_ptr<const Snapshot>;
}
