#include "child_process.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>

#include <sys/stat.h>

using namespace plumsill;

namespace
{
std::string settings(const std::string &address)
{
    return R"({"node-name":"d1","zone":"a","ip":")" + address + R"(","listen":{"front":")" + address + R"(:8782","ready":")" + address
        + R"(:8789"},"internal-ports":[7340,7355],"bounds":["grace-s=1"],"platform":{"address":")" + address + R"(:8784"}})" + "\n";
}
}

/// A daemon whose settings come through a pipe, so that the test knows when it reads them and how long that takes.
TEST_GROUP(ReloadProcess)
{
    const std::string address = "127.201." + std::to_string(::getpid() / 200 % 250) + "." + std::to_string(1 + ::getpid() % 200);
    const std::string path = std::filesystem::temp_directory_path() / ("plumsill-settings-" + std::to_string(::getpid()));

    void setup() override
    {
        std::signal(SIGPIPE, SIG_IGN); // a daemon that has ended reads no settings
        LONGS_EQUAL(0, ::mkfifo(path.c_str(), 0600));
    }
    void teardown() override
    {
        std::filesystem::remove(path);
    }
};

// Guards against a process that is ended by a SIGHUP which arrives before its handler is set.
TEST(ReloadProcess, ReloadSignalDuringTheStartWaitsForItsHandler)
{
    ChildProcess daemon("plumsilld", {"--platform", "--config", path});
    std::ofstream pipe(path); // returns when the daemon has opened the other end
    daemon.signal(SIGHUP);
    std::ofstream(path + ".new") << settings(address);
    std::filesystem::rename(path + ".new", path);
    pipe << settings(address);
    pipe.close();
    std::string line;
    while (line.find("reloaded") == std::string::npos) {
        line = daemon.line();
    }
    daemon.signal(SIGTERM);
    LONGS_EQUAL(0, daemon.wait());
}
