#include "environment_p.h"

#include "clock_p.h"

#include <boost/asio.hpp>

namespace plumsill
{
namespace
{
namespace asio = boost::asio;

// Removes chunks (stored pieces of documents) that no manifest refers to any more. A chunk whose removal fails with
// Conflict or NotFound is skipped. Any other error ends the clean-up, which is harmless: a chunk that remains only
// takes up space.
asio::awaitable<void> cleanUp(std::vector<ObjectCall> calls, const StoreCaller &store)
{
    for (auto &call : calls) {
        const auto result = co_await store(std::move(call));
        if (result.has_error() && result.error().fault != StoreFault::Conflict && result.error().fault != StoreFault::NotFound) {
            co_return;
        }
    }
}

asio::awaitable<StoreResult<std::string>> readText(StoreCaller store, std::string environment, Manifest manifest)
{
    TextAssembly assembly(std::move(environment), std::move(manifest));
    while (const auto call = assembly.next()) {
        const auto chunk = co_await store(*call);
        if (chunk.has_error()) {
            co_return chunk.error();
        }
        if (!assembly.add(std::get<StoredObject>(chunk.value()).value)) {
            co_return StoreError {StoreFault::Malformed, "chunk"};
        }
    }
    auto text = assembly.text();
    if (!text) {
        co_return StoreError {StoreFault::Malformed, "document"};
    }
    co_return std::move(*text);
}
}

StoreCaller makeStoreCaller(StoreConnection &store)
{
    return [&store](ObjectCall call) { return store.call(std::move(call)); };
}

StoreCaller makeOperatorStoreCaller(StoreConnection &store)
{
    return [&store](ObjectCall call) { return store.callForOperator(std::move(call)); };
}

asio::awaitable<ChangeReply> runChange(ChangeOrder order, StoreCaller store, HoldersQuery holders)
{
    ChangeProcess process(std::move(order), RuntimeClock::now());
    auto step = process.start();
    while (!std::holds_alternative<ChangeReply>(step)) {
        if (auto *call = std::get_if<ObjectCall>(&step)) {
            const auto result = co_await store(std::move(*call));
            step = process.answered(result, RuntimeClock::now());
        } else if (const auto *pause = std::get_if<ChangePause>(&step)) {
            co_await sleepFor(pause->delay);
            step = process.resumed(RuntimeClock::now());
        } else {
            step = process.holdersCounted(holders(std::get<CountHolders>(step).stamp), RuntimeClock::now());
        }
    }
    co_await cleanUp(process.cleanUp(), store);
    co_return std::get<ChangeReply>(std::move(step));
}

asio::awaitable<StoreResult<Manifest>> readManifest(StoreCaller store, std::string environment)
{
    ObjectCall call = ReadCall {manifestKey(environment)};
    const auto result = co_await store(std::move(call));
    if (result.has_error()) {
        co_return result.error();
    }
    auto manifest = parseManifest(std::get<StoredObject>(result.value()).value);
    if (!manifest) {
        co_return StoreError {StoreFault::Malformed, "manifest"};
    }
    co_return std::move(*manifest);
}

asio::awaitable<StoreResult<StoredDocument>> readDocument(StoreCaller store, std::string environment)
{
    const auto sent = RuntimeClock::now();
    auto manifest = co_await readManifest(store, environment);
    if (manifest.has_error()) {
        co_return manifest.error();
    }
    auto text = co_await readText(store, environment, manifest.value());
    if (text.has_error()) {
        co_return text.error();
    }
    co_return StoredDocument {std::move(manifest.value()), std::move(text.value()), sent};
}

asio::awaitable<StoreResult<DocumentRefresh>> refreshDocument(StoreCaller store, std::string environment, DocumentHolder &holder)
{
    const auto sent = RuntimeClock::now();
    auto manifest = co_await readManifest(store, environment);
    if (manifest.has_error()) {
        co_return manifest.error();
    }
    const auto stamp = manifest.value().stamp;
    if (holder.confirmedByStore(stamp, sent)) {
        co_return DocumentRefresh {stamp, sent, {}};
    }
    const auto text = co_await readText(store, environment, std::move(manifest.value()));
    if (text.has_error()) {
        co_return text.error();
    }
    co_return DocumentRefresh {stamp, sent, holder.offeredByStore(stamp, text.value(), sent)};
}
}
