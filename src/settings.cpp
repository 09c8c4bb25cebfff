#include <plumsill/settings.h>

#include <plumsill/ini.h>

#include <algorithm>
#include <array>
#include <map>

namespace plumsill
{
namespace
{
using Reason = std::string; // empty: the value was taken

constexpr unsigned MaxTrafficThreads = 64;
constexpr unsigned MaxZones = 100;

Reason takeEndpoint(const std::string &value, Endpoint &endpoint)
{
    const auto parsed = parseEndpoint(value);
    if (!parsed) {
        return "not IP:PORT: " + value;
    }
    endpoint = *parsed;
    return {};
}

Reason takeText(const std::string &value, std::string &text)
{
    if (value.empty()) {
        return "empty";
    }
    text = value;
    return {};
}

Reason takeThreads(const std::string &value, unsigned &threads)
{
    const auto number = parseNumber(value);
    if (!number || *number < 1 || *number > MaxTrafficThreads || *number != static_cast<unsigned>(*number)) {
        return "not a whole number from 1 to " + std::to_string(MaxTrafficThreads) + ": " + value;
    }
    threads = static_cast<unsigned>(*number);
    return {};
}

Reason takeSeeds(const std::string &value, std::vector<Endpoint> &seeds)
{
    for (const auto &item : splitList(value)) {
        Endpoint seed;
        if (auto reason = takeEndpoint(item, seed); !reason.empty()) {
            return reason;
        }
        seeds.push_back(seed);
    }
    return {};
}

Reason takePlatform(const std::string &value, Endpoint &platform)
{
    static const std::string scheme = "http://";
    if (!value.starts_with(scheme)) {
        return "not http://IP:PORT: " + value;
    }
    return takeEndpoint(value.substr(scheme.size()), platform);
}

Reason takeLevel(const std::string &value, LogLevel &level)
{
    static const std::map<std::string, LogLevel> levels {
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warning", LogLevel::Warning},
        {"error", LogLevel::Error},
    };
    const auto found = levels.find(value);
    if (found == levels.end()) {
        return "not debug, info, warning or error: " + value;
    }
    level = found->second;
    return {};
}

Reason takeFormat(const std::string &value, LogFormat &format)
{
    if (value != "text" && value != "json") {
        return "not text or json: " + value;
    }
    format = value == "json" ? LogFormat::Json : LogFormat::Text;
    return {};
}

Reason takeForm(const std::string &value, FleetForm &form)
{
    if (value != "cell" && value != "zone") {
        return "not cell or zone: " + value;
    }
    form = value == "zone" ? FleetForm::Zone : FleetForm::Cell;
    return {};
}

Reason takeZones(const std::string &value, unsigned &zones)
{
    const auto number = parseNumber(value);
    if (!number || *number < 1 || *number > MaxZones || *number != static_cast<unsigned>(*number)) {
        return "not a whole number from 1 to " + std::to_string(MaxZones) + ": " + value;
    }
    zones = static_cast<unsigned>(*number);
    return {};
}

Reason takePath(const std::string &value, std::string &path)
{
    if (!value.starts_with('/')) {
        return "not a path that begins with a slash: " + value;
    }
    path = value;
    return {};
}

Reason takeDuration(const std::string &value, Duration &duration)
{
    const auto parsed = parseDuration(value);
    if (!parsed || *parsed <= Duration::zero()) {
        return "not a duration such as 5s or 200ms: " + value;
    }
    duration = *parsed;
    return {};
}

Reason takePositive(const std::string &value, double &number)
{
    const auto parsed = parseNumber(value);
    if (!parsed || *parsed <= 0) {
        return "not a number above 0: " + value;
    }
    number = *parsed;
    return {};
}

/// Which daemons need a key.
enum class Needed
{
    Always,
    Cell, ///< those of that form
    Zone,
    Never,
};

struct Field {
    const char *name; // section.key
    Needed needed;
    Reason (*take)(const std::string &value, Settings &settings);
};

constexpr std::array Fields {
    Field {"instance.id", Needed::Always, [](const std::string &value, Settings &settings) { return takeText(value, settings.instance.value); }},
    Field {"instance.zone", Needed::Always, [](const std::string &value, Settings &settings) { return takeText(value, settings.zone.value); }},
    Field {"instance.region", Needed::Always, [](const std::string &value, Settings &settings) { return takeText(value, settings.region); }},
    Field {"traffic.listen", Needed::Always, [](const std::string &value, Settings &settings) { return takeEndpoint(value, settings.trafficListen); }},
    Field {"traffic.threads", Needed::Never, [](const std::string &value, Settings &settings) { return takeThreads(value, settings.trafficThreads); }},
    Field {"admin.listen", Needed::Cell, [](const std::string &value, Settings &settings) { return takeEndpoint(value, settings.adminListen); }},
    Field {"admin.token_file", Needed::Cell, [](const std::string &value, Settings &settings) { return takeText(value, settings.adminTokenFile); }},
    Field {"peer.listen", Needed::Always, [](const std::string &value, Settings &settings) { return takeEndpoint(value, settings.peerListen); }},
    Field {"peer.secret_file", Needed::Cell, [](const std::string &value, Settings &settings) { return takeText(value, settings.peerSecretFile); }},
    Field {"peer.seeds", Needed::Never, [](const std::string &value, Settings &settings) { return takeSeeds(value, settings.peerSeeds); }},
    Field {"platform.url", Needed::Always, [](const std::string &value, Settings &settings) { return takePlatform(value, settings.platform); }},
    Field {"platform.environment", Needed::Always, [](const std::string &value, Settings &settings) { return takeText(value, settings.environment); }},
    Field {"log.level", Needed::Never, [](const std::string &value, Settings &settings) { return takeLevel(value, settings.logLevel); }},
    Field {"log.format", Needed::Never, [](const std::string &value, Settings &settings) { return takeFormat(value, settings.logFormat); }},
    Field {"log.file", Needed::Never, [](const std::string &value, Settings &settings) { return takeText(value, settings.logFile); }},
    Field {"fleet.form", Needed::Never, [](const std::string &value, Settings &settings) { return takeForm(value, settings.form); }},
    Field {"fleet.zones", Needed::Never, [](const std::string &value, Settings &settings) { return takeZones(value, settings.zones); }},
    Field {"instance.capacity", Needed::Never, [](const std::string &value, Settings &settings) { return takePositive(value, settings.capacity); }},
    Field {"readiness.listen", Needed::Zone, [](const std::string &value, Settings &settings) { return takeEndpoint(value, settings.readinessListen); }},
    Field {"readiness.path", Needed::Never, [](const std::string &value, Settings &settings) { return takePath(value, settings.readinessPath); }},
    Field {"metrics.listen", Needed::Zone, [](const std::string &value, Settings &settings) { return takeEndpoint(value, settings.metricsListen); }},
    Field {"metrics.path", Needed::Never, [](const std::string &value, Settings &settings) { return takePath(value, settings.metricsPath); }},
    Field {"bounds.key_lifetime", Needed::Never, [](const std::string &value, Settings &settings) { return takeDuration(value, settings.bounds.keyLifetime); }},
    Field {"bounds.stop_grace", Needed::Never, [](const std::string &value, Settings &settings) { return takeDuration(value, settings.bounds.stopGrace); }},
    Field {"bounds.repeat_ratio", Needed::Never, [](const std::string &value, Settings &settings) { return takePositive(value, settings.bounds.repeatRatio); }},
    Field {"bounds.repeat_slack", Needed::Never, [](const std::string &value, Settings &settings) { return takePositive(value, settings.bounds.repeatSlack); }},
    Field {"bounds.repeat_window", Needed::Never,
           [](const std::string &value, Settings &settings) { return takeDuration(value, settings.bounds.repeatWindow); }},
};

const Field *findField(const std::string &name)
{
    const auto *const found = std::find_if(Fields.begin(), Fields.end(), [&](const Field &field) { return name == field.name; });
    return found == Fields.end() ? nullptr : found;
}

bool isNeeded(Needed needed, FleetForm form)
{
    return needed == Needed::Always || (needed == Needed::Cell && form == FleetForm::Cell) || (needed == Needed::Zone && form == FleetForm::Zone);
}

// The line of a missing key is that of its section, or the last line when the section is missing too.
unsigned lineForMissing(const std::string &name, const IniText &ini)
{
    const std::string section = name.substr(0, name.find('.'));
    unsigned line = 0;
    for (const auto &entry : ini.entries) {
        if (entry.section == section) {
            return entry.line;
        }
        line = entry.line;
    }
    return line;
}
}

ParsedSettings parseSettings(const std::string &text, const std::string &file)
{
    ParsedSettings result;
    const IniText ini = readIni(text, file);
    result.problems = ini.problems;
    std::map<std::string, unsigned> seen;
    for (const auto &entry : ini.entries) {
        const std::string name = entry.section + "." + entry.key;
        const Field *field = findField(name);
        Reason reason;
        if (field == nullptr) {
            reason = "unknown key";
        } else if (!seen.emplace(name, entry.line).second) {
            reason = "given twice, first in line " + std::to_string(seen[name]);
        } else {
            reason = field->take(entry.value, result.settings);
        }
        if (!reason.empty()) {
            result.problems.push_back({file, entry.line, name, reason});
        }
    }
    for (const auto &field : Fields) {
        if (isNeeded(field.needed, result.settings.form) && !seen.contains(field.name)) {
            result.problems.push_back({file, lineForMissing(field.name, ini), field.name, "missing"});
        }
    }
    return result;
}
}
