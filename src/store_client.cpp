#include "raw_json_p.h"

#include <plumsill/config.h>
#include <plumsill/ini.h>
#include <plumsill/store.h>

#include <boost/json.hpp>

#include <algorithm>

namespace plumsill
{
namespace
{
namespace json = boost::json;

constexpr std::size_t MaxFilteredKeys = 4096;
constexpr std::size_t MaxLoggedNameBytes = 64;
constexpr auto ReadBackDelay = std::chrono::milliseconds(100);

StoreError malformed(const std::string &what)
{
    return {StoreFault::Malformed, what + " can't be read"};
}

const char *toText(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Unreachable:
        return "unreachable";
    case StoreFault::NoAnswer:
        return "no answer";
    case StoreFault::Conflict:
        return "conflict";
    case StoreFault::NotFound:
        return "not found";
    case StoreFault::TooLarge:
        return "too large";
    case StoreFault::Expired:
        return "revision too old";
    case StoreFault::Stale:
        return "stale answer";
    case StoreFault::Throttled:
        return "call budget spent";
    case StoreFault::Malformed:
        return "malformed answer";
    }
    return "";
}

// Returns the text in field @p key. Throws the exceptions of the JSON library, which convert() turns into a StoreError.
std::string text(const json::object &object, const char *key)
{
    return std::string(object.at(key).as_string());
}

StoredObject toObject(const json::object &object)
{
    return {text(object, "key"), object.at("version").to_number<std::uint64_t>(), text(object, "value")};
}

WatchEvent toWatchEvent(const json::object &event)
{
    const auto type = text(event, "type");
    const auto version = event.at("version").to_number<std::uint64_t>();
    if (type == "bookmark") {
        return WatchBookmark {version};
    }
    if (type == "delete") {
        return ObjectDeleted {text(event, "key"), version};
    }
    return ObjectPut {toObject(event)};
}

Target toTarget(const json::object &object)
{
    const auto endpoint = parseEndpoint(text(object, "endpoint"));
    if (!endpoint) {
        throw std::invalid_argument("endpoint");
    }
    return {{text(object, "name")}, {text(object, "service")}, {text(object, "zone")}, *endpoint, text(object, "state") == "leaving"};
}

template<class Value, class Convert>
StoreResult<Value> convert(const std::string &text, const char *what, Convert fill)
{
    try {
        return fill(json::parse(text));
    } catch (const std::exception &) {
        return malformed(what);
    }
}

// Whether a write that failed with this fault had no effect, as it didn't reach the store or the store refused it.
bool certainlyNotWritten(StoreFault fault)
{
    return fault != StoreFault::NoAnswer && fault != StoreFault::Malformed;
}
}

std::string toString(const StoreError &error)
{
    return std::string(toText(error.fault)) + (error.message.empty() ? "" : ": " + error.message);
}

StoreResult<ObjectList> parseObjectList(const std::string &text)
{
    return convert<ObjectList>(text, "list of objects", [](const json::value &value) {
        ObjectList list {value.at("revision").to_number<std::uint64_t>(), {}};
        for (const auto &object : value.at("objects").as_array()) {
            list.objects.push_back(toObject(object.as_object()));
        }
        return list;
    });
}

StoreResult<WatchEvent> parseWatchEvent(const std::string &line)
{
    return convert<WatchEvent>(line, "watch event", [](const json::value &value) { return toWatchEvent(value.as_object()); });
}

StoreResult<std::vector<ListedInstance>> parseInstances(const std::string &text)
{
    return convert<std::vector<ListedInstance>>(text, "list of instances", [](const json::value &value) {
        std::vector<ListedInstance> instances;
        for (const auto &item : value.as_array()) {
            const auto &object = item.as_object();
            instances.push_back({{plumsill::text(object, "name")}, plumsill::text(object, "state") == "leaving"});
        }
        return instances;
    });
}

// Each entry is parsed by itself, so that one of another writer does not hide the others.
StoreResult<ListedTargets> parseTargets(const std::string &text)
{
    const auto items = rawElements(text);
    if (!items) {
        return malformed("list of targets");
    }
    ListedTargets listed;
    for (const auto item : *items) {
        try {
            listed.targets.push_back(toTarget(json::parse({item.data(), item.size()}).as_object()));
        } catch (const std::exception &error) {
            const std::string_view name = rawMember(item, "name");
            listed.rejected.push_back(
                {!name.starts_with('"') ? std::string() : std::string(name.substr(1, std::min(name.size() - 2, MaxLoggedNameBytes))), error.what()});
        }
    }
    return listed;
}

CallBudget::CallBudget(double callsPerSecond, double burst)
    : m_rate(callsPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{ }

std::optional<Duration> CallBudget::take(TimePoint now)
{
    const double elapsed = m_updatedAt ? std::max(0.0, seconds(now - *m_updatedAt)) : 0;
    m_updatedAt = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
    if (m_tokens < 1) {
        return fromSeconds((1 - m_tokens) / m_rate) + std::chrono::milliseconds(1);
    }
    m_tokens -= 1;
    return std::nullopt;
}

Backoff::Backoff(Duration initialDelay, Duration maxDelay)
    : m_initialDelay(initialDelay)
    , m_maxDelay(maxDelay)
    , m_currentDelay(initialDelay)
{ }

Duration Backoff::next(double random)
{
    const auto delay = fromSeconds(seconds(m_currentDelay) * random);
    m_currentDelay = std::min(m_maxDelay, 2 * m_currentDelay);
    return delay;
}

void Backoff::reset()
{
    m_currentDelay = m_initialDelay;
}

bool VersionFilter::accept(const std::string &key, std::uint64_t version)
{
    if (m_highest.size() >= MaxFilteredKeys) {
        m_highest.clear();
    }
    auto &highest = m_highest[key];
    if (version < highest) {
        return false;
    }
    highest = version;
    return true;
}

WatchMonitor::WatchMonitor(TimePoint opened)
    : m_lastActivity(opened)
{ }

void WatchMonitor::recordActivity(TimePoint now)
{
    m_lastActivity = std::max(m_lastActivity, now);
}

TimePoint WatchMonitor::deadline() const
{
    return m_lastActivity + config::MaxMissedWatchBookmarks * config::WatchBookmarkInterval;
}

std::string toJson(const TaggedValue &value)
{
    return json::serialize(json::object {{"writeId", value.writeId}, {"data", value.data}});
}

std::optional<TaggedValue> parseTaggedValue(const std::string &text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *writeId = object == nullptr ? nullptr : object->if_contains("writeId");
    const auto *data = object == nullptr ? nullptr : object->if_contains("data");
    if (writeId == nullptr || data == nullptr || !writeId->is_string() || !data->is_string()) {
        return std::nullopt;
    }
    return TaggedValue {std::string(writeId->as_string()), std::string(data->as_string())};
}

ConditionalWrite::ConditionalWrite(Request request, TimePoint deadline)
    : m_request(std::move(request))
    , m_deadline(deadline)
{ }

WriteStep ConditionalWrite::start()
{
    return write();
}

WriteStep ConditionalWrite::write()
{
    m_reading = false;
    if (m_request.expected == 0) {
        return ObjectCall(CreateCall {m_request.key, m_request.value});
    }
    return ObjectCall(ReplaceCall {m_request.key, m_request.value, m_request.expected});
}

WriteStep ConditionalWrite::resume()
{
    m_reading = true;
    return ObjectCall(ReadCall {m_request.key});
}

WriteStep ConditionalWrite::answered(const ObjectResult &result, TimePoint now)
{
    return m_reading ? afterRead(result, now) : afterWrite(result, now);
}

WriteStep ConditionalWrite::afterWrite(const ObjectResult &result, TimePoint now)
{
    if (result.has_value()) {
        const auto *written = std::get_if<Written>(&result.value());
        return written != nullptr ? WriteStep(WriteDone {written->version}) : pauseOrGiveUp(now);
    }
    const auto &error = result.error();
    m_maybeWritten = m_maybeWritten || !certainlyNotWritten(error.fault);
    if (m_maybeWritten) {
        return pauseOrGiveUp(now);
    }
    return error.fault == StoreFault::Conflict ? WriteStep(WriteConflict {}) : WriteStep(WriteNotDone {error});
}

// Handles the read that follows a write of uncertain outcome. If the object is unchanged, the write is repeated under the
// same condition. An earlier attempt may still take effect, but at most one attempt succeeds.
WriteStep ConditionalWrite::afterRead(const ObjectResult &result, TimePoint now)
{
    const bool absent = result.has_error() && result.error().fault == StoreFault::NotFound;
    if (absent && m_request.expected == 0) {
        return now < m_deadline ? write() : WriteStep(WriteUnknown {});
    }
    const auto *object = result.has_value() ? std::get_if<StoredObject>(&result.value()) : nullptr;
    if (object == nullptr) {
        return pauseOrGiveUp(now);
    }
    if (object->value.find('"' + m_request.writeId + '"') != std::string::npos) {
        return WriteDone {object->version};
    }
    if (object->version > m_request.expected) {
        return WriteSuperseded {};
    }
    return now < m_deadline ? write() : WriteStep(WriteUnknown {});
}

WriteStep ConditionalWrite::pauseOrGiveUp(TimePoint now)
{
    return now < m_deadline ? WriteStep(WritePause {ReadBackDelay}) : WriteStep(WriteUnknown {});
}
}
