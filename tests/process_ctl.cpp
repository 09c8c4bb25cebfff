#include "child_process.h"

#include <plumsill/document.h>

#include <filesystem>
#include <fstream>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
/// Temporary folder, removed by the destructor.
struct TemporaryFolder {
    std::filesystem::path path;

    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "plumsill-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string write(const std::string &name, const std::string &content) const
    {
        const auto file = path / name;
        std::ofstream(file) << content;
        return file.string();
    }
};

std::string settingsText(const TemporaryFolder &folder, const Endpoint &platform)
{
    return "[instance]\nid = i1\nzone = a\nregion = r\n[traffic]\nlisten = 127.0.0.1:0\nthreads = 1\n"
           "[admin]\nlisten = 127.0.0.1:0\ntoken_file = "
        + folder.write("token", std::string(32, 't') + "\n") + "\n[peer]\nlisten = 127.0.0.1:0\nsecret_file = "
        + folder.write("secret", std::string(64, 's') + "\n") + "\n[platform]\nurl = http://" + toString(platform) + "\nenvironment = production\n";
}
}

/// Runs plumsillctl against one daemon and the stand-in platform, each in its own process.
TEST_GROUP(ProcessCtl)
{
    const std::string documentText = "[service s]\nfloor = 50%\n[route r]\nprefix = /\nservice = s\nidempotent = yes\naccess = open\n";
    TemporaryFolder folder;
    ChildProcess platform {"standin-platform", {}};
    ChildProcess daemon {"plumsilld", {"--config", folder.write("settings.ini", settingsText(folder, readyEndpoint(platform.line(), "http")))}};
    std::string admin = toString(readyEndpoint(daemon.line(), "admin"));

    /// Runs one command and returns its exit status; @p output, unless null, receives the first line of its output.
    int ctl(std::vector<std::string> arguments, std::string *output = nullptr)
    {
        arguments.insert(arguments.end(), {"--admin", admin, "--token-file", (folder.path / "token").string(), "--operator", "ann"});
        ChildProcess command("plumsillctl", std::move(arguments));
        if (output != nullptr) {
            *output = command.line();
        }
        return command.wait();
    }
};

TEST(ProcessCtl, OnlyAProvedDocumentIsPromotedAndOnlyOnce)
{
    const auto good = folder.write("good.ini", documentText);
    const auto later = folder.write("later.ini", documentText + "[team a]\nrate = 1/s\nburst = 1\n");
    std::string output;
    LONGS_EQUAL(0, ctl({"check", good}, &output));
    STRCMP_EQUAL(("ok: digest " + sha256Hex(documentText)).c_str(), output.c_str());
    LONGS_EQUAL(0, ctl({"put", good}));
    LONGS_EQUAL_TEXT(3, ctl({"promote"}), "not proved");
    LONGS_EQUAL(0, ctl({"prove"}));
    LONGS_EQUAL(0, ctl({"promote"}, &output));
    STRCMP_CONTAINS("accepted: version 1, ", output.c_str());
    LONGS_EQUAL_TEXT(3, ctl({"promote", "--replaces", "0"}), "the current version is not 0");
    LONGS_EQUAL(0, ctl({"diff", later}, &output));
    STRCMP_EQUAL("added team a", output.c_str());
    LONGS_EQUAL(0, ctl({"history"}, &output));
    STRCMP_CONTAINS(("promote  ann  " + sha256Hex(documentText)).c_str(), output.c_str());
}

TEST(ProcessCtl, ExitStatusIndicatesTheKindOfError)
{
    LONGS_EQUAL_TEXT(1, ctl({"put", folder.write("bad.ini", "[x]\n")}), "invalid");
    LONGS_EQUAL_TEXT(2, ctl({"put"}), "no file given");
    LONGS_EQUAL_TEXT(2, ctl({"nothing"}), "no such command");
    LONGS_EQUAL_TEXT(2, ctl({"put", (folder.path / "absent.ini").string()}), "file not readable");
    LONGS_EQUAL_TEXT(3, ctl({"put", folder.write("good.ini", documentText), "--replaces", "7"}), "conflict");
    folder.write("token", "another\n");
    LONGS_EQUAL_TEXT(1, ctl({"put", folder.write("good.ini", documentText)}), "wrong token");
    daemon.signal(SIGKILL);
    daemon.wait();
    LONGS_EQUAL_TEXT(5, ctl({"status"}), "no daemon answers");
}
