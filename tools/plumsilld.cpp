#include "../platform/decode.h"
#include "../platform/wire.h"
#include "../src/daemon_p.h"
#include "../src/reload_signal_p.h"

#include <plumsill/event.h>
#include <plumsill/log.h>

#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>

using namespace plumsill;

namespace
{
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr std::size_t MinSecretBytes = 16;

struct Arguments {
    std::string config;
    bool platform = false; ///< the settings come from the users' platform, which starts the daemon
    bool check = false;
    bool version = false;
};

std::optional<Arguments> parseArguments(int argc, const char **argv)
{
    char *config = nullptr;
    int platform = 0;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "read the settings from FILE", "FILE"},
        {"platform", 'p', POPT_ARG_NONE, &platform, 0, "take the settings from the platform that starts the daemon", nullptr},
        {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext("plumsilld", argc, argv, options, 0), poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    Arguments arguments {config == nullptr ? "" : config, platform != 0, check != 0, version != 0};
    free(config);
    if (result < -1) {
        std::cerr << "plumsilld: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << "\n";
        return std::nullopt;
    }
    if (poptPeekArg(context.get()) != nullptr || (arguments.config.empty() && !arguments.platform && !arguments.version)) {
        std::cerr << "plumsilld: usage: plumsilld (--config FILE | --platform) [--check] [--version] [--help]\n";
        return std::nullopt;
    }
    return arguments;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<std::string> readSecret(const std::string &path)
{
    auto secret = readFile(path);
    if (!secret) {
        std::cerr << "plumsilld: cannot read " << path << "\n";
        return std::nullopt;
    }
    while (!secret->empty() && (secret->back() == '\n' || secret->back() == '\r')) {
        secret->pop_back();
    }
    if (secret->size() < MinSecretBytes) {
        std::cerr << "plumsilld: " << path << ": shorter than " << MinSecretBytes << " bytes\n";
        return std::nullopt;
    }
    return secret;
}

ParsedSettings readPlatformSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        ParsedSettings unreadable;
        unreadable.problems.push_back({path, 0, "settings", "cannot be read"});
        return unreadable;
    }
    return platform::decodeSettings(*text, path);
}

int runOnPlatform(const Arguments &arguments)
{
    const char *variable = std::getenv(platform::SettingsVariable);
    const std::string path = !arguments.config.empty() ? arguments.config : variable == nullptr ? "" : variable;
    if (path.empty()) {
        std::cerr << "plumsilld: " << platform::SettingsVariable << " is not set\n";
        return ExitUsage;
    }
    const ParsedSettings parsed = readPlatformSettings(path);
    for (const auto &problem : parsed.problems) {
        std::cerr << toString(problem) << "\n";
    }
    for (const auto &notice : parsed.notices) {
        std::cerr << toString(notice) << "\n";
    }
    if (!parsed.valid()) {
        return ExitUsage;
    }
    if (arguments.check) {
        std::cout << "ok\n";
        return 0;
    }
    enableEvents();
    std::signal(SIGPIPE, SIG_IGN);
    const auto openDirectory = [](boost::asio::io_context &context, const Settings &settings) {
        return DirectoryPort(std::make_unique<platform::ObjectDirectory>(context, settings.platform));
    };
    return runZoneDaemon(parsed.settings, {[path] { return readPlatformSettings(path); }, platform::dialect(), openDirectory});
}

ParsedSettings readIniSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        ParsedSettings unreadable;
        unreadable.problems.push_back({path, 0, "settings", "cannot be read"});
        return unreadable;
    }
    return parseSettings(*text, path);
}

int runInZone(const Arguments &arguments, const Settings &settings)
{
    enableEvents();
    std::signal(SIGPIPE, SIG_IGN);
    const auto openDirectory
        = [](boost::asio::io_context & /*context*/, const Settings &current) { return DirectoryPort(std::make_unique<StoreDirectory>(current.platform)); };
    return runZoneDaemon(settings, {[path = arguments.config] { return readIniSettings(path); }, {}, openDirectory});
}

int run(const Arguments &arguments)
{
    if (arguments.platform) {
        return runOnPlatform(arguments);
    }
    const ParsedSettings parsed = readIniSettings(arguments.config);
    for (const auto &problem : parsed.problems) {
        std::cerr << toString(problem) << "\n";
    }
    if (!parsed.valid()) {
        return ExitUsage;
    }
    if (parsed.settings.form == FleetForm::Zone) {
        if (arguments.check) {
            std::cout << "ok\n";
            return 0;
        }
        return runInZone(arguments, parsed.settings);
    }
    const auto peerSecret = readSecret(parsed.settings.peerSecretFile);
    const auto adminToken = readSecret(parsed.settings.adminTokenFile);
    if (!peerSecret || !adminToken) {
        return ExitUsage;
    }
    if (arguments.check) {
        std::cout << "ok\n";
        return 0;
    }
    openLog(parsed.settings.logLevel, parsed.settings.logFormat, parsed.settings.logFile);
    std::signal(SIGPIPE, SIG_IGN);
    releaseReloadSignal(); // the cell form has no reload
    return runDaemon(parsed.settings, {*peerSecret, *adminToken});
}
}

int main(int argc, const char **argv)
{
    holdReloadSignal();
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return ExitUsage;
    }
    if (arguments->version) {
        std::cout << "plumsilld " << PLUMSILL_VERSION << "\n";
        return 0;
    }
    try {
        return run(*arguments);
    } catch (const std::exception &error) {
        std::cerr << "plumsilld: " << error.what() << "\n";
        return ExitFailure;
    }
}
