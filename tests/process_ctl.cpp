#include "child_process.h"

#include <plumsill/document.h>

#include <filesystem>
#include <fstream>

// Last, since its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
/// A folder that goes away with the test.
struct Folder {
    std::filesystem::path path;

    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "plumsill-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        const auto file = path / name;
        std::ofstream(file) << text;
        return file.string();
    }
};

std::string settingsText(const Folder &folder, const Endpoint &platform)
{
    return "[instance]\nid = i1\nzone = a\nregion = r\n[traffic]\nlisten = 127.0.0.1:0\nthreads = 1\n"
           "[admin]\nlisten = 127.0.0.1:0\ntoken_file = "
        + folder.write("token", std::string(32, 't') + "\n") + "\n[peer]\nlisten = 127.0.0.1:0\nsecret_file = "
        + folder.write("secret", std::string(64, 's') + "\n") + "\n[platform]\nurl = http://" + toString(platform) + "\nenvironment = production\n";
}
}

/// plumsillctl against one daemon and the stand-in for the platform, each a process of its own.
TEST_GROUP(ProcessCtl)
{
    const std::string text = "[service s]\nfloor = 50%\n[route r]\nprefix = /\nservice = s\nidempotent = yes\naccess = open\n";
    Folder folder;
    ChildProcess platform {"standin-platform", {}};
    ChildProcess daemon {"plumsilld", {"--config", folder.write("settings.ini", settingsText(folder, readyEndpoint(platform.line(), "http")))}};
    std::string admin = toString(readyEndpoint(daemon.line(), "admin"));

    /// Exit status of one command; @p output gets its first line where it is asked for.
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

TEST(ProcessCtl, DocumentGoesToProductionOnceAndOnlyProved)
{
    const auto good = folder.write("good.ini", text);
    const auto later = folder.write("later.ini", text + "[team a]\nrate = 1/s\nburst = 1\n");
    std::string output;
    LONGS_EQUAL(0, ctl({"check", good}, &output));
    STRCMP_EQUAL(("ok: digest " + sha256Hex(text)).c_str(), output.c_str());
    LONGS_EQUAL(0, ctl({"put", good}));
    LONGS_EQUAL_TEXT(3, ctl({"promote"}), "not proved");
    LONGS_EQUAL(0, ctl({"prove"}));
    LONGS_EQUAL(0, ctl({"promote"}, &output));
    STRCMP_CONTAINS("accepted: version 1, ", output.c_str());
    LONGS_EQUAL_TEXT(3, ctl({"promote", "--replaces", "0"}), "another version is there");
    LONGS_EQUAL(0, ctl({"diff", later}, &output));
    STRCMP_EQUAL("added team a", output.c_str());
    LONGS_EQUAL(0, ctl({"history"}, &output));
    STRCMP_CONTAINS(("promote  ann  " + sha256Hex(text)).c_str(), output.c_str());
}

TEST(ProcessCtl, ExitStatusTellsWhatWentWrong)
{
    LONGS_EQUAL_TEXT(1, ctl({"put", folder.write("bad.ini", "[x]\n")}), "invalid");
    LONGS_EQUAL_TEXT(2, ctl({"put"}), "no file");
    LONGS_EQUAL_TEXT(2, ctl({"nothing"}), "no such command");
    LONGS_EQUAL_TEXT(2, ctl({"put", (folder.path / "absent.ini").string()}), "unreadable");
    LONGS_EQUAL_TEXT(3, ctl({"put", folder.write("good.ini", text), "--replaces", "7"}), "conflict");
    folder.write("token", "another\n");
    LONGS_EQUAL_TEXT(1, ctl({"put", folder.write("good.ini", text)}), "wrong token");
    daemon.signal(SIGKILL);
    daemon.wait();
    LONGS_EQUAL_TEXT(5, ctl({"status"}), "no daemon");
}
