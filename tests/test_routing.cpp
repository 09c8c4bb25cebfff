#include <plumsill/keys.h>
#include <plumsill/routing.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
Route route(const std::string &name, const std::string &host, const std::string &prefix, const std::vector<std::string> &methods)
{
    Route made;
    made.name = {name};
    made.host = host;
    made.prefix = prefix;
    made.methods = methods;
    return made;
}

RouteTable table()
{
    Document document;
    document.routes = {route("root", "", "/", {}),           route("admin", "", "/admin", {"GET"}), route("deep", "", "/admin/keys", {"POST"}),
                       route("host", "a.example", "/x", {}), route("read", "", "/orders", {"GET"}), route("write", "", "/orders", {"POST"})};
    return RouteTable(std::make_shared<const Document>(std::move(document)));
}

std::string found(const RouteTable &routes, const std::string &host, const std::string &target, const std::string &method = "GET")
{
    struct Visitor {
        std::string operator()(const RouteFound &match) const { return match.route->name.value; }
        std::string operator()(const NoRoute & /*match*/) const { return "none"; }
        std::string operator()(const MethodNotAllowed &match) const { return "not allowed, but " + match.allowed.front(); }
        std::string operator()(const BadPath & /*match*/) const { return "bad"; }
    };
    return std::visit(Visitor {}, routes.find(host, target, method));
}

constexpr const char *Key = "secret-key.1";

Document keyed()
{
    Document document;
    document.teams = {{{"clerks"}, 1, 1, {sha256Hex(Key)}}};
    return document;
}
}

TEST_GROUP(Routing) {};

TEST(Routing, LongestPrefixOnSegmentBoundariesWins)
{
    const auto routes = table();
    STRCMP_EQUAL("admin", found(routes, "b", "/admin").c_str());
    STRCMP_EQUAL("admin", found(routes, "b", "/admin/?q=/admin/keys").c_str());
    STRCMP_EQUAL("admin", found(routes, "b", "/admin/other/deeper/still").c_str());
    STRCMP_EQUAL("root", found(routes, "b", "/administrator").c_str());
    STRCMP_EQUAL("deep", found(routes, "b", "/admin/keys/1", "POST").c_str());
    STRCMP_EQUAL("root", found(routes, "b", "/").c_str());
}

TEST(Routing, ExactHostComesFirst)
{
    const auto routes = table();
    STRCMP_EQUAL("host", found(routes, "A.Example.:8080", "/x/y").c_str());
    STRCMP_EQUAL("root", found(routes, "a.example", "/y").c_str());
    STRCMP_EQUAL("root", found(routes, "b", "/x/y").c_str());
}

TEST(Routing, ShorterPrefixDoesNotAcceptAMethodThatTheLongerExcludes)
{
    const auto routes = table();
    STRCMP_EQUAL("not allowed, but POST", found(routes, "b", "/admin/keys", "GET").c_str());
    STRCMP_EQUAL("not allowed, but GET", found(routes, "b", "/admin", "DELETE").c_str());
    STRCMP_EQUAL("write", found(routes, "b", "/orders/1", "POST").c_str());
    STRCMP_EQUAL("read", found(routes, "b", "/orders/1").c_str());
}

TEST(Routing, AmbiguousPathsCannotBypassAPrefix)
{
    const auto routes = table();
    for (const char *target : {"/x/../admin", "/./admin", "//admin", "/x//admin", "/%2e%2e/admin", "/x/%2E./admin", "/x%2fadmin", "/x%5cadmin", "/x\\admin",
                               "/admin%00", "/%zz", "/%2", "/x/..;/admin", "/%252e%252e/admin", "admin", "http://h/admin", "/a b", "/;/admin"}) {
        STRCMP_EQUAL("bad", found(routes, "b", target).c_str());
    }
    STRCMP_EQUAL("admin", found(routes, "b", "/%61dmin").c_str());
    STRCMP_EQUAL("admin", found(routes, "b", "/admin;x=1/y").c_str());
}

// Guards against a request that runs on a route whose prefix doesn't begin its path, or is refused because of an encoded character.
TEST(Routing, LiteralPathsAreComparedAsTheyWereSent)
{
    Document document;
    document.literalPaths = true;
    document.routes = {route("a", "", "/a", {}), route("deep", "", "/a/b%20c", {}), route("x", "x", "/", {})};
    document.routes[0].belowOnly = true;
    document.routes[1].belowOnly = true;
    const RouteTable routes(std::make_shared<const Document>(std::move(document)));
    for (const char *target : {"/a/", "/a/b", "/a/x%2Fy", "/a/x%5Cy", "/a/%zz", "/a/;x=1", "/a//b", "/a/b c/d?e=/../", "/a/b%20%63/d", "/a/...", "/a/100%"}) {
        STRCMP_EQUAL("a", found(routes, "b", target).c_str());
    }
    STRCMP_EQUAL("deep", found(routes, "b", "/a/b%20c/d").c_str());
    for (const char *target : {"/a", "/a;x/b", "/%61/b", "//a/b", "/b", "/a?/a/"}) {
        STRCMP_EQUAL("none", found(routes, "b", target).c_str());
    }
    // Targets may read these as paths outside of the prefix.
    for (const char *target : {"/a/../b", "/a/./b", "/a/%2e%2E/b", "/a/%2e%2e%2fb", "/a/..;x/b", "/a/..\\b", "/a/%252e%252e/b", "/a/..", "a/b"}) {
        STRCMP_EQUAL("bad", found(routes, "b", target).c_str());
    }
}

TEST(Routing, OnlyListedTeamsMayUseARoute)
{
    Route some = route("r", "", "/", {});
    CHECK(mayUse(some, {"any"}));
    some.teams = {{"a"}, {"c"}};
    CHECK(mayUse(some, {"c"}));
    CHECK(!mayUse(some, {"b"}));
}

TEST_GROUP(Keys) {};

TEST(Keys, TeamIsFoundByTheDigestOfItsKey)
{
    const KeyTable keys(keyed());
    STRCMP_EQUAL("clerks", keys.find(Key)->value.c_str());
    CHECK(keys.find("secret-key.2") == nullptr);
    CHECK(keys.find("") == nullptr);
    CHECK(keys.find(sha256Hex(Key)) == nullptr);
}

TEST(Keys, PresentedKeyMustBeUnique)
{
    CHECK(std::holds_alternative<NoKey>(presentedKey({}, {})));
    CHECK(std::holds_alternative<NoKey>(presentedKey({}, {"Basic abc"})));
    STRCMP_EQUAL("k", std::get<PresentedKey>(presentedKey({" k "}, {})).key.c_str());
    STRCMP_EQUAL("k", std::get<PresentedKey>(presentedKey({}, {"bearer  k"})).key.c_str());
    STRCMP_EQUAL("k", std::get<PresentedKey>(presentedKey({"k"}, {"Bearer k"})).key.c_str());
    CHECK(std::holds_alternative<AmbiguousKey>(presentedKey({"k"}, {"Bearer l"})));
    CHECK(std::holds_alternative<AmbiguousKey>(presentedKey({"k", "k"}, {})));
    CHECK(std::holds_alternative<AmbiguousKey>(presentedKey({}, {"Bearer k", "Basic x"})));
}

// Guards against requests that are refused because their key holds the further characters of a bearer token, and against such a key that reaches a target.
TEST(Keys, KeysMayHoldAllCharactersOfABearerToken)
{
    const std::string wide = "ab+cd/ef01==";
    Document document;
    document.teams = {{{"clerks"}, 1, 1, {sha256Hex(wide)}}};
    const KeyTable keys(document);
    const TeamName *team = keys.find(wide);
    CHECK(team != nullptr && team->value == "clerks");
    for (const std::string &text : {wide, "/a/" + wide + "/b", "/a?k=" + wide + "&x=1", "sid=" + wide + "; x=2", "Bearer " + wide,
                                    std::string("/a?k=ab%2Bcd%2Fef01%3D%3D&x=1"), "/" + wide}) {
        CHECK_TEXT(keys.containsKnownKey(text), text.c_str());
    }
    for (const char *text : {"/ab+cd/ef01", "ab+cd/ef01=", "ab cd/ef01==", "/a/b/c/d/e/f/g/h/i/j/k/l/m/n/o/p/q/r"}) {
        CHECK_TEXT(!keys.containsKnownKey(text), text);
    }
}

TEST(Keys, KnownKeyIsDetectedAnywhereInAText)
{
    const KeyTable keys(keyed());
    for (const char *text :
         {"secret-key.1", "/a/secret-key.1/b", "/a?k=secret-key.1&x=1", "/a?k=secret%2Dkey%2e1", "/a?k=secret%252Dkey.1", "sid=secret-key.1; x=2",
          "\"secret-key.1\"", "(secret-key.1).", "Bearer secret-key.1", "Basic dXNlcjpzZWNyZXQta2V5LjE=", "-secret-key.1-"}) {
        CHECK_TEXT(keys.containsKnownKey(text), text);
    }
    for (const char *text : {"", "/a/secret-key", "secret-key.12", "Basic x", "%", "/a?%zz", "text/html, application/json"}) {
        CHECK_TEXT(!keys.containsKnownKey(text), text);
    }
}
