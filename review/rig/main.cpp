#include "rig.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <sys/stat.h>

// usage: review-rig SCENARIO DAEMON RECORD
int main(int argc, char **argv)
{
    constexpr int CannotRunStatus = 2;
    const std::map<std::string, rig::Verdict (*)(const rig::Context &)> scenarios {
        {"stop-during-stream", rig::stopDuringStream}, {"hedge-into-stream", rig::hedgeIntoStream}, {"stop-slow-reader", rig::stopSlowReader},
        {"leave-mid-download", rig::leaveMidDownload}, {"unreadable-entry", rig::unreadableEntry},  {"leave-pipelined", rig::leavePipelined},
        {"leave-many-reads", rig::leaveManyReads},
    };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto scenario = arguments.size() == 3 ? scenarios.find(arguments[0]) : scenarios.end();
    if (scenario == scenarios.end()) {
        std::cerr << "usage: review-rig SCENARIO DAEMON RECORD\n";
        return CannotRunStatus;
    }
    std::signal(SIGPIPE, SIG_IGN);
    rig::nowMs();
    const char *trouble = std::getenv("TROUBLE");
    rig::Record record(arguments[2]);
    try {
        const rig::Verdict verdict = scenario->second({arguments[1], record, trouble == nullptr || std::string(trouble) != "0"});
        std::cout << arguments[0] << (verdict == rig::Verdict::Broken ? ": broken" : ": held") << "\n";
        return static_cast<int>(verdict);
    } catch (const rig::CannotRun &problem) {
        record.line("cannot run: " + problem.reason);
        std::cerr << arguments[0] << ": cannot run: " << problem.reason << "\n";
    }
    return CannotRunStatus;
}
