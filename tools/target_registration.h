#pragma once

#include "../platform/decode.h"
#include "../platform/wire.h"
#include "../src/http_client_p.h"

#include <boost/json/serialize.hpp>

/// Registration of stand-in targets at the object service of the users' platform.
namespace plumsill::standin
{
/// Entry of one target in the object service.
class TargetRegistration
{
public:
    TargetRegistration(boost::asio::io_context &loop, Endpoint store, Target target, Duration heartbeat)
        : m_client(loop)
        , m_store(std::move(store))
        , m_target(std::move(target))
        , m_heartbeat(heartbeat)
    { }

    /// Writes the entry at each heartbeat interval until the target leaves.
    boost::asio::awaitable<void> run()
    {
        while (!m_target.leaving) {
            co_await write();
            co_await sleepFor(m_heartbeat);
        }
    }

    /// Marks the entry as leaving and retries until the service accepts the change. Removes the entry after @p drain; with none, the entry is
    /// removed unmarked.
    boost::asio::awaitable<void> leave(Duration drain)
    {
        m_target.leaving = true;
        bool accepted = drain == Duration::zero();
        if (!accepted) {
            accepted = co_await write();
        }
        while (!accepted) {
            co_await sleepFor(RetryDelay);
            accepted = co_await write();
        }
        co_await sleepFor(drain);
        co_await call("DELETE", platform::ObjectsPath + std::string(platform::TargetsKind) + "/" + m_target.name.value, {});
    }

private:
    static constexpr Duration CallTimeout = std::chrono::seconds(1);
    static constexpr Duration RetryDelay = std::chrono::milliseconds(200);

    boost::asio::awaitable<bool> write()
    {
        ++m_target.sequence;
        const std::string kind = platform::ObjectsPath + std::string(platform::TargetsKind);
        const boost::json::value body = {{"metadata", {{"name", m_target.name.value}}}, {"spec", platform::encodeTarget(m_target)}};
        const std::string text = boost::json::serialize(body);
        unsigned status = co_await call("PUT", kind + "/" + m_target.name.value, text);
        if (status == 404) {
            status = co_await call("POST", kind, text);
        }
        co_return status >= 200 && status < 300;
    }

    /// Returns the status of the answer, or 0 if there was none.
    boost::asio::awaitable<unsigned> call(std::string method, std::string path, std::string body)
    {
        if (!m_client.usable()) {
            const bool connected = co_await m_client.connect(m_store);
            if (!connected) {
                co_return 0;
            }
        }
        HttpRequest request {std::move(method), std::move(path), {{"Host", toString(m_store)}}, std::move(body)};
        const auto answer = co_await m_client.exchange(std::move(request), CallTimeout);
        co_return answer ? answer.assume_value().status : 0;
    }

    HttpClient m_client;
    Endpoint m_store;
    Target m_target;
    Duration m_heartbeat;
};
}
