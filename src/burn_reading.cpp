#include <plumsill/burn.h>

#include <boost/json.hpp>

#include <charconv>
#include <sstream>
#include <string_view>

namespace plumsill
{
namespace json = boost::json;

namespace
{
constexpr std::string_view RequestsMetric = "plumsill_requests_total{";

json::array seriesJson(const std::vector<TrafficKey> &series)
{
    json::array list;
    for (const auto &key : series) {
        list.push_back(json::object {{"service", key.service.value}, {"team", key.team.value}});
    }
    return list;
}

json::object sampleJson(const BurnSample &sample, const std::map<TrafficKey, std::size_t> &numbers)
{
    json::array counts;
    for (const auto &[key, count] : sample.counts) {
        counts.push_back(json::array {numbers.at(key), count.good, count.bad});
    }
    return {{"age_s", seconds(sample.age)}, {"span_s", seconds(sample.span)}, {"counts", std::move(counts)}};
}

BurnSample toSample(const json::value &value, const std::vector<TrafficKey> &series)
{
    BurnSample sample;
    sample.age = fromSeconds(value.at("age_s").to_number<double>());
    sample.span = fromSeconds(value.at("span_s").to_number<double>());
    for (const auto &entry : value.at("counts").as_array()) {
        const auto &key = series.at(entry.at(0).to_number<std::size_t>());
        sample.counts[key] += {entry.at(1).to_number<std::uint64_t>(), entry.at(2).to_number<std::uint64_t>()};
    }
    return sample;
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

BurnReading toReading(const json::value &value)
{
    BurnReading reading;
    for (const auto &[service, objective] : value.at("objectives").as_object()) {
        reading.objectives[ServiceName {std::string(service)}] = objective.to_number<double>();
    }
    std::vector<TrafficKey> series;
    for (const auto &key : value.at("series").as_array()) {
        series.push_back({ServiceName {text(key.at("service"))}, TeamName {text(key.at("team"))}});
    }
    for (const auto &sample : value.at("samples").as_array()) {
        reading.samples.push_back(toSample(sample, series));
    }
    return reading;
}

// Names contain no quotes, so label values need no unescaping.
std::string labelValue(std::string_view line, std::string_view label)
{
    const std::string opening = std::string(label) + "=\"";
    const auto position = line.find(opening);
    if (position == std::string_view::npos) {
        return {};
    }
    const auto begin = position + opening.size();
    return std::string(line.substr(begin, line.find('"', begin) - begin));
}

std::uint64_t trailingCount(std::string_view line)
{
    const auto space = line.rfind(' ');
    std::uint64_t count = 0;
    std::from_chars(line.data() + space + 1, line.data() + line.size(), count);
    return count;
}

void add(TrafficCounts &counts, const std::string &outcome, std::uint64_t count)
{
    if (outcome == "good") {
        counts.good += count;
    } else if (outcome == "bad") {
        counts.bad += count;
    } else if (outcome == "over_rate") {
        counts.overRate += count;
    } else if (outcome == "owner_unreachable") {
        counts.ownerUnreachable += count;
    } else if (outcome == "not_trusted") {
        counts.notTrusted += count;
    }
}
}

std::string historyJson(const BurnReading &reading)
{
    std::map<TrafficKey, std::size_t> numbers;
    std::vector<TrafficKey> series;
    for (const auto &sample : reading.samples) {
        for (const auto &[key, counts] : sample.counts) {
            if (numbers.try_emplace(key, series.size()).second) {
                series.push_back(key);
            }
        }
    }
    json::object objectives;
    for (const auto &[service, objective] : reading.objectives) {
        objectives[service.value] = objective;
    }
    json::array samples;
    for (const auto &sample : reading.samples) {
        samples.push_back(sampleJson(sample, numbers));
    }
    return json::serialize(json::object {
        {"interval_s", seconds(config::BurnFineStep)}, {"objectives", std::move(objectives)}, {"series", seriesJson(series)}, {"samples", std::move(samples)}});
}

const char *toString(BurnError error)
{
    return error == BurnError::NotJson ? "not JSON" : "not a plumsill history";
}

BurnResult<BurnReading> parseHistory(const std::string &text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error) {
        return BurnError::NotJson;
    }
    try {
        return toReading(value);
    } catch (const std::exception &) {
        return BurnError::WrongShape;
    }
}

BurnTotals parseMetrics(const std::string &text)
{
    std::map<TrafficKey, TrafficCounts> counts;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(RequestsMetric)) {
            const TrafficKey key {ServiceName {labelValue(line, "service")}, TeamName {labelValue(line, "team")}};
            add(counts[key], labelValue(line, "outcome"), trailingCount(line));
        }
    }
    return toBurnTotals(counts);
}
}
