#pragma once

#include <plumsill/clock.h>
#include <plumsill/rejected_entries.h>
#include <plumsill/types.h>

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/// Client of the platform's object API: typed calls and answers, and the logic of retries and conditional writes.
namespace plumsill
{
enum class StoreFault
{
    Unreachable, ///< the call was not sent
    NoAnswer, ///< the call was sent but not answered: a write may have taken effect
    Conflict, ///< the condition of a write isn't met
    NotFound,
    TooLarge, ///< the value exceeds the store's limit
    Expired, ///< the revision to watch from is too old: the objects must be listed again
    Stale, ///< the answer is older than a previous one
    Throttled, ///< the call was not sent because the daemon's call budget is spent
    Malformed, ///< the answer can't be parsed: a write may have taken effect
};

struct StoreError {
    StoreFault fault = StoreFault::Unreachable;
    std::string message;

    auto operator<=>(const StoreError &) const = default;
};

std::string toString(const StoreError &error);

/// Value or error; `value()` and `error()` assert that it is present.
template<class Value>
using StoreResult = boost::outcome_v2::unchecked<Value, StoreError>;

/// An object; `version` is the revision of the store at the last write of the object.
struct StoredObject {
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(const StoredObject &) const = default;
};

struct ObjectList {
    std::uint64_t revision = 0;
    std::vector<StoredObject> objects;

    auto operator<=>(const ObjectList &) const = default;
};

struct Written {
    std::uint64_t version = 0;

    auto operator<=>(const Written &) const = default;
};

struct Removed {
    auto operator<=>(const Removed &) const = default;
};

struct ReadCall {
    std::string key;

    auto operator<=>(const ReadCall &) const = default;
};

struct ListCall {
    std::string prefix;

    auto operator<=>(const ListCall &) const = default;
};

/// Writes the object if its key is absent.
struct CreateCall {
    std::string key;
    std::string value;

    auto operator<=>(const CreateCall &) const = default;
};

/// Writes the object if it still has the expected version.
struct ReplaceCall {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;

    auto operator<=>(const ReplaceCall &) const = default;
};

/// Removes the object if it still has the expected version.
struct RemoveCall {
    std::string key;
    std::uint64_t expected = 0;

    auto operator<=>(const RemoveCall &) const = default;
};

using ObjectCall = std::variant<ReadCall, ListCall, CreateCall, ReplaceCall, RemoveCall>;
using ObjectAnswer = std::variant<StoredObject, ObjectList, Written, Removed>;
using ObjectResult = StoreResult<ObjectAnswer>;

struct ObjectPut {
    StoredObject object;
};

struct ObjectDeleted {
    std::string key;
    std::uint64_t version = 0;
};

/// Periodic event of a watch. It states that every change up to `revision` has been sent.
struct WatchBookmark {
    std::uint64_t revision = 0;
};

using WatchEvent = std::variant<ObjectPut, ObjectDeleted, WatchBookmark>;

/// The platform's listing of targets.
struct ListedTargets {
    std::vector<Target> targets;
    std::vector<RejectedEntry> rejected; ///< entries that name no target to use

    auto operator<=>(const ListedTargets &) const = default;
};

// Parsers of the store's JSON answers; an answer that can't be parsed gives StoreFault::Malformed.
StoreResult<ObjectList> parseObjectList(const std::string &json);
StoreResult<WatchEvent> parseWatchEvent(const std::string &line);
StoreResult<std::vector<ListedInstance>> parseInstances(const std::string &json);
StoreResult<ListedTargets> parseTargets(const std::string &json);

/// Token bucket for the store calls of one daemon.
class CallBudget
{
public:
    CallBudget(double callsPerSecond, double burst);

    /// Takes a token for one call and returns nothing. If there is no token, returns the time until there is one.
    std::optional<Duration> take(TimePoint now);

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    std::optional<TimePoint> m_updatedAt;
};

/// Exponential delay with full jitter between attempts.
class Backoff
{
public:
    Backoff(Duration initialDelay, Duration maxDelay);

    /// Delay before the next attempt; @p random is uniform in [0, 1).
    Duration next(double random);
    void reset();

private:
    Duration m_initialDelay;
    Duration m_maxDelay;
    Duration m_currentDelay;
};

/// Detects answers that are older than a previous answer for the same key. The number of recorded keys is bounded. When it
/// reaches the limit, all records are discarded, after which an older answer may be accepted.
class VersionFilter
{
public:
    /// Returns false if a higher version of the key was accepted before; in that case the answer must be discarded.
    bool accept(const std::string &key, std::uint64_t version);

private:
    std::unordered_map<std::string, std::uint64_t> m_highest;
};

/// Detects an unresponsive watch.
class WatchMonitor
{
public:
    explicit WatchMonitor(TimePoint opened);

    void recordActivity(TimePoint now);
    /// Time at which the watch becomes unresponsive if there is no activity before.
    TimePoint deadline() const;
    bool unresponsive(TimePoint now) const { return now >= deadline(); }

private:
    TimePoint m_lastActivity;
};

/// A value with the id of the write that stored it. If the answer to a write is lost, reading the id shows whether the write
/// took effect.
struct TaggedValue {
    std::string writeId;
    std::string data;

    auto operator<=>(const TaggedValue &) const = default;
};

std::string toJson(const TaggedValue &value);
std::optional<TaggedValue> parseTaggedValue(const std::string &json);

struct WriteDone {
    std::uint64_t version = 0;

    auto operator<=>(const WriteDone &) const = default;
};

/// The write had no effect, because another write came first.
struct WriteConflict {
    auto operator<=>(const WriteConflict &) const = default;
};

/// The object has a later version whose value lacks the write id. Either the write had no effect, or another write has
/// replaced its value since.
struct WriteSuperseded {
    auto operator<=>(const WriteSuperseded &) const = default;
};

/// The write had no effect, for a reason other than a conflict.
struct WriteNotDone {
    StoreError error;

    auto operator<=>(const WriteNotDone &) const = default;
};

/// The write may have taken effect; its outcome was not found out before the deadline.
struct WriteUnknown {
    auto operator<=>(const WriteUnknown &) const = default;
};

/// Step of a ConditionalWrite: wait for `delay`, then call ConditionalWrite::resume().
struct WritePause {
    Duration delay {};

    auto operator<=>(const WritePause &) const = default;
};

using WriteStep = std::variant<ObjectCall, WritePause, WriteDone, WriteConflict, WriteSuperseded, WriteNotDone, WriteUnknown>;

/// State machine of a conditional write. It repeats reads and writes until the outcome is certain or the deadline has
/// passed.
class ConditionalWrite
{
public:
    struct Request {
        std::string key;
        std::string value; ///< contains the write id as a JSON string
        std::string writeId; ///< unique id of the write
        std::uint64_t expected = 0; ///< version to replace; 0: the key must be absent
    };

    ConditionalWrite(Request request, TimePoint deadline);

    WriteStep start();
    WriteStep answered(const ObjectResult &result, TimePoint now);
    WriteStep resume();

private:
    WriteStep write();
    WriteStep afterWrite(const ObjectResult &result, TimePoint now);
    WriteStep afterRead(const ObjectResult &result, TimePoint now);
    WriteStep pauseOrGiveUp(TimePoint now);

    Request m_request;
    TimePoint m_deadline;
    bool m_reading = false;
    bool m_maybeWritten = false; ///< the answer to a write was lost or malformed
};
}
