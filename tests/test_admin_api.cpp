#include "admin_api_p.h"
#include "fake_store.h"

#include <boost/asio.hpp>

#include <optional>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace http = boost::beast::http;

namespace
{
const std::string trialDocument = "[service s]\nfloor = 50%\n[route r]\nprefix = /\nservice = s\nidempotent = yes\naccess = open\n";
constexpr const char *Token = "token-1";

/// The administration API of one daemon over a fake store, called without sockets.
struct Api {
    FakeStore store;
    CallFault fault = CallFault::None;
    AdminContext context;

    Api()
    {
        context.environment = TrialEnvironment;
        context.token = Token;
        RuntimeClock::pause();
        context.store = [this](ObjectCall call) -> boost::asio::awaitable<ObjectResult> {
            RuntimeClock::advance(std::chrono::seconds(1)); // exceeds StaleReadTimeout
            co_return store.call(call, fault);
        };
        context.holders = [](const DocumentStamp &) { return Holders {2, 3}; };
        context.held = [] { return DocumentStamp {}; };
        context.status = [] { return boost::json::object {{"state", "serving"}}; };
    }
    ~Api() { RuntimeClock::resume(); }
    Api(const Api &) = delete;
    Api &operator=(const Api &) = delete;

    AdminResponse call(const AdminRequest &request) const
    {
        boost::asio::io_context loop;
        std::optional<AdminResponse> response;
        const auto answer = [&]() -> boost::asio::awaitable<void> { response = co_await answerAdminCall(context, request); };
        boost::asio::co_spawn(loop, answer, [](const std::exception_ptr &error) { CHECK(!error); });
        loop.run();
        return *response;
    }
    AdminResponse get(const std::string &target) const { return call({http::verb::get, target, 11}); }
    AdminResponse change(http::verb verb, const std::string &target, const std::string &body, const char *condition, const char *token = Token) const
    {
        AdminRequest request(verb, target, 11);
        request.set(http::field::authorization, std::string("Bearer ") + token);
        request.set("Plumsill-Operator", "ann\n\"x");
        if (condition != nullptr) {
            request.set(*condition == '*' ? http::field::if_none_match : http::field::if_match, condition);
        }
        request.body() = body;
        return call(request);
    }
    AdminResponse put(const std::string &body, const char *condition, const char *token = Token) const
    {
        return change(http::verb::put, "/v1/environments/trial/document", body, condition, token);
    }
};

boost::json::value bodyOf(const AdminResponse &response)
{
    return boost::json::parse(response.body());
}

void checkError(unsigned status, const char *code, const AdminResponse &response)
{
    LONGS_EQUAL(status, response.result_int());
    STRCMP_EQUAL(code, bodyOf(response).at("error").at("code").as_string().c_str());
}
}

TEST_GROUP(AdminApi)
{
    Api api;
};

TEST(AdminApi, DocumentIsPutProvedAndShown)
{
    checkError(404, "no-document", api.get("/v1/environments/trial/document"));
    const auto put = api.put(trialDocument, "*");
    LONGS_EQUAL(200, put.result_int());
    STRCMP_EQUAL("accepted", bodyOf(put).at("outcome").as_string().c_str());
    const auto shown = api.get("/v1/environments/trial/document");
    STRCMP_EQUAL("\"1\"", std::string(shown[http::field::etag]).c_str());
    STRCMP_EQUAL(trialDocument.c_str(), bodyOf(shown).at("text").as_string().c_str());
    LONGS_EQUAL(200, api.change(http::verb::post, "/v1/environments/trial/prove", "", "\"1\"").result_int());
    const auto digest = "{\"digest\":\"" + sha256Hex(trialDocument) + "\"}";
    const auto promoted = api.change(http::verb::post, "/v1/environments/production/promote", digest, "*");
    STRCMP_EQUAL_TEXT("stored", bodyOf(promoted).at("outcome").as_string().c_str(),
                      "a daemon of trial does not know which members of production hold the document");
    LONGS_EQUAL(1, bodyOf(api.get("/v1/environments")).at("environments").at(1).at("version").to_number<int>());
}

TEST(AdminApi, ErrorsCarryStatusAndCode)
{
    checkError(401, "unauthorized", api.put(trialDocument, "*", "wrong"));
    checkError(428, "no-version", api.put(trialDocument, nullptr));
    checkError(428, "no-version", api.put(trialDocument, "\"x\""));
    checkError(409, "conflict", api.put(trialDocument, "\"3\""));
    checkError(422, "invalid", api.put("[x]\n", "*"));
    checkError(409, "not-trial", api.change(http::verb::put, "/v1/environments/production/document", trialDocument, "*"));
    checkError(400, "bad-body", api.change(http::verb::post, "/v1/environments/production/promote", "{}", "*"));
    checkError(405, "method-not-allowed", api.change(http::verb::delete_, "/v1/environments/trial/document", "", "*"));
    for (const char *target : {"/v1/", "/v1/x", "/v1/environments/other/document", "/v1/environments/production/prove", "/v1/environments/trial/promote"}) {
        checkError(404, "not-found", api.get(target));
    }
    LONGS_EQUAL(0, api.store.count(""));
}

TEST(AdminApi, ChangesAreRefusedWithoutAConfiguredToken)
{
    api.context.token = "";
    checkError(401, "unauthorized", api.put(trialDocument, "*", ""));
}

TEST(AdminApi, UnreachableStoreIsReported)
{
    api.fault = CallFault::Down;
    checkError(503, "store-unavailable", api.get("/v1/environments"));
    LONGS_EQUAL(200, api.get("/v1/status").result_int());
}

TEST(AdminApi, CheckReportsProblemsOrChanges)
{
    api.put(trialDocument, "*");
    const auto changed = api.change(http::verb::post, "/v1/environments/trial/check", trialDocument + "[team a]\nrate = 1/s\nburst = 1\n", nullptr, "");
    STRCMP_EQUAL("added team a", bodyOf(changed).at("changes").at(0).as_string().c_str());
    const auto bad = api.change(http::verb::post, "/v1/environments/trial/check", "[team a]\n", nullptr, "");
    checkError(422, "invalid", bad);
    LONGS_EQUAL(1, bodyOf(bad).at("error").at("problems").at(0).at("line").to_number<int>());
}

TEST(AdminApi, HistoryIsPaged)
{
    api.put(trialDocument, "*");
    api.put(trialDocument, "\"1\"");
    api.put(trialDocument, "\"2\"");
    const auto first = bodyOf(api.get("/v1/environments/trial/history?limit=2"));
    LONGS_EQUAL(2, first.at("entries").as_array().size());
    LONGS_EQUAL(3, first.at("entries").at(0).at("version").to_number<int>());
    LONGS_EQUAL(2, first.at("next").to_number<int>());
    STRCMP_EQUAL("ann__x", first.at("entries").at(0).at("author").as_string().c_str());
    const auto second = bodyOf(api.get("/v1/environments/trial/history?limit=2&after=2"));
    LONGS_EQUAL(1, second.at("entries").as_array().size());
    CHECK(second.at("next").is_null());
}
