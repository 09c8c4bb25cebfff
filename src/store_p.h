#pragma once

#include <plumsill/config.h>
#include <plumsill/store.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace plumsill
{
struct StoreSettings {
    Endpoint endpoint;
    double callsPerSecond = config::StoreCallsPerSecond;
    double callBurst = config::StoreCallBurst;
    Duration callTimeout = config::StoreCallTimeout;
    double operatorCallsPerSecond = config::OperatorCallsPerSecond;
    double operatorCallBurst = config::OperatorCallBurst;
};

/// Parses the address in "http://IP:PORT"; returns nothing for any other text.
std::optional<Endpoint> parseStoreUrl(const std::string &url);

/// Client of the platform's object API on one event loop. Calls may run concurrently; the connection object must outlive
/// them.
class StoreConnection
{
public:
    explicit StoreConnection(StoreSettings settings);
    ~StoreConnection();
    StoreConnection(const StoreConnection &) = delete;
    StoreConnection &operator=(const StoreConnection &) = delete;

    boost::asio::awaitable<ObjectResult> call(ObjectCall call);
    /// Makes a call for an operator. Such calls have their own budget, so that they neither wait for the daemon's own calls
    /// nor delay them.
    boost::asio::awaitable<ObjectResult> callForOperator(ObjectCall call);

    boost::asio::awaitable<StoreResult<StoredObject>> read(std::string key);
    boost::asio::awaitable<StoreResult<ObjectList>> list(std::string prefix);
    boost::asio::awaitable<StoreResult<Written>> create(std::string key, std::string value);
    boost::asio::awaitable<StoreResult<Written>> replace(std::string key, std::string value, std::uint64_t expected);
    boost::asio::awaitable<StoreResult<Removed>> remove(std::string key, std::uint64_t expected);
    boost::asio::awaitable<StoreResult<std::vector<ListedInstance>>> instances();
    boost::asio::awaitable<StoreResult<ListedTargets>> targets();

    /// Passes every event after revision @p from to @p handler, on a separate connection, until the watch fails, becomes
    /// unresponsive or is cancelled. The objects must then be listed and watched again.
    boost::asio::awaitable<StoreError> watch(std::string prefix, std::uint64_t from, std::function<void(const WatchEvent &)> handler);

private:
    boost::asio::awaitable<ObjectResult> answer(ObjectCall call, CallBudget &budget);

    class Pool;
    std::unique_ptr<Pool> m_pool;
};
}
