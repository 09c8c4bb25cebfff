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

/// Address in "http://IP:PORT"; nothing for anything else.
std::optional<Endpoint> parseStoreUrl(const std::string &url);

/// Client of the platform's service on one event loop. Its calls may run side by side; it must outlive them.
class StoreConnection
{
public:
    explicit StoreConnection(StoreSettings settings);
    ~StoreConnection();
    StoreConnection(const StoreConnection &) = delete;
    StoreConnection &operator=(const StoreConnection &) = delete;

    boost::asio::awaitable<ObjectResult> call(ObjectCall call);
    /// A call that an operator waits for. It has a budget of its own, so it neither waits for the daemon's own calls
    /// nor takes theirs.
    boost::asio::awaitable<ObjectResult> callForOperator(ObjectCall call);

    boost::asio::awaitable<StoreResult<StoredObject>> read(std::string key);
    boost::asio::awaitable<StoreResult<ObjectList>> list(std::string prefix);
    boost::asio::awaitable<StoreResult<Written>> create(std::string key, std::string value);
    boost::asio::awaitable<StoreResult<Written>> replace(std::string key, std::string value, std::uint64_t expected);
    boost::asio::awaitable<StoreResult<Removed>> remove(std::string key, std::uint64_t expected);
    boost::asio::awaitable<StoreResult<std::vector<ListedInstance>>> instances();
    boost::asio::awaitable<StoreResult<std::vector<Target>>> targets();

    /// Hands every event after revision @p from to @p handler, on a connection of its own, until the watch fails,
    /// goes silent or is cancelled; the caller then lists and watches anew.
    boost::asio::awaitable<StoreError> watch(std::string prefix, std::uint64_t from, std::function<void(const WatchEvent &)> handler);

private:
    boost::asio::awaitable<ObjectResult> answer(ObjectCall call, CallBudget &budget);

    class Pool;
    std::unique_ptr<Pool> m_pool;
};
}
