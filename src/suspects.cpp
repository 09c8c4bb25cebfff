#include "suspects_p.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>

namespace plumsill
{
namespace json = boost::json;

namespace
{
std::int64_t number(const json::object &object, const char *name, std::int64_t missing)
{
    const auto *value = object.if_contains(name);
    boost::system::error_code error;
    const auto result = value == nullptr || !value->is_number() ? missing : value->to_number<std::int64_t>(error);
    return error ? missing : result;
}

std::optional<std::uint64_t> parseHalf(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return error == std::errc() && end == digits.data() + digits.size() && digits.size() == 16 ? std::optional(value) : std::nullopt;
}

std::optional<RequestDigest> parseDigest(const json::value *text)
{
    if (text == nullptr || !text->is_string() || text->get_string().size() != 32) {
        return std::nullopt;
    }
    const std::string_view digits(text->get_string().data(), 32);
    const auto high = parseHalf(digits.substr(0, 16));
    const auto low = parseHalf(digits.substr(16));
    return high && low ? std::optional(RequestDigest {*high, *low}) : std::nullopt;
}

std::uint32_t shifted(std::int64_t age, std::int64_t by)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age + by, 0, SuspectRequest::Never - 1));
}

std::optional<SuspectRequest> suspectRequest(const json::value &entry, std::int64_t storedFor)
{
    const auto *object = entry.if_object();
    const auto digest = object == nullptr ? std::nullopt : parseDigest(object->if_contains("digest"));
    const auto *crashes = !digest ? nullptr : object->if_contains("crashes");
    if (crashes == nullptr || !crashes->is_array()) {
        return std::nullopt;
    }
    SuspectRequest request;
    request.digest = *digest;
    for (const auto &crash : crashes->get_array()) {
        if (crash.is_object() && request.crashes.size() < SuspectRequest::MaxCrashes) {
            const auto &fields = crash.get_object();
            request.crashes.push_back({static_cast<std::uint32_t>(number(fields, "target", 0)), shifted(number(fields, "age", 0), storedFor)});
        }
    }
    request.trials = static_cast<std::uint32_t>(std::clamp<std::int64_t>(number(*object, "trials", 0), 0, 255));
    if (request.trials > 0) {
        request.trialMillisecondsAgo = shifted(number(*object, "trial-age", 0), storedFor);
    }
    return request;
}
}

json::value toJson(const std::vector<SuspectRequest> &requests, std::int64_t unixMilliseconds)
{
    json::array entries;
    for (const auto &request : requests) {
        json::array crashes;
        for (const auto &crash : request.crashes) {
            crashes.push_back({{"target", crash.target}, {"age", crash.ageMilliseconds}});
        }
        json::object entry {{"digest", toString(request.digest)}, {"crashes", std::move(crashes)}, {"trials", request.trials}};
        if (request.trials > 0) {
            entry["trial-age"] = request.trialMillisecondsAgo;
        }
        entries.push_back(std::move(entry));
    }
    return json::object {{"at", unixMilliseconds}, {"requests", std::move(entries)}};
}

std::vector<SuspectRequest> suspectRequests(const json::value &stored, std::int64_t unixMilliseconds)
{
    std::vector<SuspectRequest> requests;
    const auto *object = stored.if_object();
    const auto *entries = object == nullptr ? nullptr : object->if_contains("requests");
    if (entries == nullptr || !entries->is_array()) {
        return requests;
    }
    const std::int64_t storedFor = std::max<std::int64_t>(unixMilliseconds - number(*object, "at", unixMilliseconds), 0);
    for (const auto &entry : entries->get_array()) {
        if (auto request = suspectRequest(entry, storedFor)) {
            requests.push_back(std::move(*request));
        }
    }
    return requests;
}

std::int64_t unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
}
