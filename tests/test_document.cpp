#include <plumsill/document.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace plumsill;

namespace
{
const std::string digestA(64, 'a');
const std::string digestB(64, 'b');

const std::string validText = "[service orders]\nfloor = 60%\nslots = 3\nprofile = few-false-ejections\nobjective = 0.999\n"
                              "[team clerks]\nrate = 50/s\nburst = 20\nkey = "
    + digestA + "\nkey = " + digestB
    + "\n[route order]\nhost = Example.org\nprefix = /orders/\nmethods = POST\nservice = orders\nidempotent = no\naccess = team\nteams = clerks\n"
      "timeout = 2s\nbody-limit = 64KB\n"
      "[route list]\nprefix = /orders\nmethods = GET, HEAD\nservice = orders\nidempotent = yes\naccess = open\n";

// An edit of the valid document and the problem that the edit must cause. If `problem` is empty, the edit must cause none.
struct Edit {
    std::string original;
    std::string replacement;
    std::string problem;
};

std::string problemsAfterEdit(const Edit &edit)
{
    std::string text = validText;
    text.replace(text.find(edit.original), edit.original.size(), edit.replacement);
    std::string problems;
    for (const auto &problem : parseDocument(text, "f").problems) {
        problems += (problems.empty() ? "" : "\n") + toString(problem);
    }
    return problems;
}
}

TEST_GROUP(Document) {};

TEST(Document, RouteOfLargeAnswersKeepsItsKeyInTheCanonicalText)
{
    std::string text = validText;
    text += "large-answers = yes\n";
    const auto parsed = parseDocument(text, "f");
    CHECK(parsed.valid());
    CHECK(parsed.document.routes.at(1).large);
    CHECK(parseDocument(canonicalText(parsed.document), "f").document.routes.at(0).large);
    CHECK(canonicalText(parsed.document).find("large-answers") == canonicalText(parsed.document).rfind("large-answers"));
}

TEST(Document, ValidTextIsReadCompletely)
{
    const auto parsed = parseDocument(validText, "f");
    CHECK(parsed.valid());
    const auto &service = parsed.document.services.at(0);
    DOUBLES_EQUAL(0.6, service.floor, 1e-9);
    LONGS_EQUAL(3, service.slots);
    CHECK(std::holds_alternative<FewFalseEjections>(service.policy));
    const auto &team = parsed.document.teams.at(0);
    DOUBLES_EQUAL(50, team.rate, 0);
    LONGS_EQUAL(2, team.keyDigests.size());
    CHECK(!parsed.document.routes.at(0).large);
    const auto &route = parsed.document.routes.at(0);
    STRCMP_EQUAL("example.org", route.host.c_str());
    STRCMP_EQUAL("/orders", route.prefix.c_str());
    CHECK(!route.idempotent);
    CHECK(!route.open);
    CHECK(route.timeout == std::chrono::seconds(2));
    LONGS_EQUAL(65536, route.bodyLimit);
    CHECK(parsed.document.routes.at(1).open);
}

TEST(Document, EachProblemNamesItsFileAndLine)
{
    const std::vector<Edit> edits {
        {"60%", "120%", "f:2: service orders.floor: not a share from 0 to 1 or 0% to 100%"},
        {"slots = 3", "slots = 0", "f:3: service orders.slots: not a whole number from 1 to 100000"},
        {"few-false-ejections", "x", "f:4: service orders.profile: neither few-false-ejections nor fast-detection"},
        {"50/s", "50", "f:7: team clerks.rate: not a rate above 0 and up to 1000000, such as 50/s"},
        {"50/s", "0/s", "f:7: team clerks.rate: not a rate above 0 and up to 1000000, such as 50/s"},
        {"burst = 20", "burst = 0.5", "f:8: team clerks.burst: not a number of requests from 1 to 1000000"},
        {"rate = 50/s", "rate = 1/s\nrates = 1", "f:8: team clerks.rates: unknown key"},
        {"rate = 50/s", "rate = 1/s\nrate = 2/s", "f:8: team clerks.rate: given twice"},
        {"rate = 50/s\n", "", "f:6: team clerks.rate: missing"},
        {digestB, "key-in-clear", "f:10: team clerks.key: not a SHA-256 digest of 64 lower-case hexadecimal digits"},
        {digestB, digestA, "f:9: team clerks.key: the same key is already given to team clerks"},
        {"/orders/", "/a/../orders", "f:13: route order.prefix: not a plain path that starts with '/'"},
        {"methods = POST", "methods = post", "f:14: route order.methods: not a list of different methods in capitals"},
        {"service = orders\nidempotent = no", "service = x\nidempotent = no", "f:15: route order.service: unknown service x"},
        {"idempotent = no", "idempotent = maybe", "f:16: route order.idempotent: neither yes nor no"},
        {"access = team", "access = all", "f:17: route order.access: neither open nor team"},
        {"access = team", "access = open", "f:18: route order.teams: an open route takes no teams"},
        {"teams = clerks", "teams = cooks", "f:18: route order.teams: unknown team cooks"},
        {"2s", "2", "f:19: route order.timeout: not a duration with a unit from 1ms to 10m"},
        {"64KB", "64", "f:20: route order.body-limit: not a size with a unit up to 64MB"},
        {"[route list]", "[rout list]", "f:21: rout list.section: unknown section"},
        {"[route list]", "[route order]", "f:21: route order.section: already given in line 11"},
        {"[route list]", "[route]", "f:21: route.section: needs a name of letters, digits, '-', '_' and '.'"},
        {"[service orders]", "x = 1\n[service orders]", "f:1: .x: outside of any section"},
    };
    for (const auto &edit : edits) {
        STRCMP_EQUAL(edit.problem.c_str(), problemsAfterEdit(edit).c_str());
    }
}

TEST(Document, AllProblemsAreReportedInLineOrder)
{
    const auto parsed = parseDocument("[team a]\nrate = 1\n[x]\n[service s]\nfloor = 2\n", "f");
    std::vector<unsigned> lines;
    for (const auto &problem : parsed.problems) {
        lines.push_back(problem.line);
    }
    CHECK((lines == std::vector<unsigned> {1, 2, 3, 5}));
}

TEST(Document, EmptySectionIsChecked)
{
    const auto parsed = parseDocument("[service s]\n[team t]\nrate = 1/s\nburst = 1\n", "f");
    LONGS_EQUAL(1, parsed.problems.size());
    STRCMP_EQUAL("f:1: service s.floor: missing", toString(parsed.problems[0]).c_str());
}

TEST(Document, SamePathAndMethodOverlap)
{
    const Edit sameMethod {"methods = GET, HEAD", "host = example.org\nmethods = GET, POST",
                           "f:22: route list.prefix: same host, prefix and method as route order"};
    Edit anyMethod = sameMethod;
    anyMethod.replacement = "host = example.org";
    const Edit otherMethod {"methods = GET, HEAD", "host = example.org\nmethods = GET", ""};
    for (const auto &edit : {sameMethod, anyMethod, otherMethod}) {
        STRCMP_EQUAL(edit.problem.c_str(), problemsAfterEdit(edit).c_str());
    }
}

TEST(Document, TwoTeamsCannotShareAKey)
{
    const auto parsed = parseDocument(validText + "[team cooks]\nrate = 1/s\nburst = 1\nkey = " + digestA + "\n", "f");
    LONGS_EQUAL(1, parsed.problems.size());
    STRCMP_EQUAL("f:30: team cooks.key: the same key is already given to team clerks", toString(parsed.problems[0]).c_str());
}

TEST(Document, CanonicalTextReadsBackAsTheSameDocument)
{
    const auto document = parseDocument(validText, "f").document;
    const auto reparsed = parseDocument(canonicalText(document), "f");
    CHECK(reparsed.valid());
    CHECK(diffDocuments(document, reparsed.document).empty());
    STRCMP_EQUAL(canonicalText(document).c_str(), canonicalText(reparsed.document).c_str());
}

TEST(Document, DiffListsEachChange)
{
    const auto before = parseDocument(validText, "f").document;
    auto after = before;
    after.teams[0].keyDigests.pop_back();
    after.routes.pop_back();
    after.services.emplace_back().name = {"billing"};
    std::string lines;
    for (const auto &change : diffDocuments(before, after)) {
        lines += toString(change) + "; ";
    }
    STRCMP_EQUAL("added service billing; changed team clerks; removed route list; ", lines.c_str());
}

TEST(Document, DigestIsSha256)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
}
