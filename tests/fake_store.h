#pragma once

#include <plumsill/store.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

/// In-memory stand-in for the platform's object API that can inject a fault into each call.
namespace plumsill
{
enum class CallFault
{
    None,
    LostBefore, ///< the call is lost; the result is NoAnswer
    LostAfter, ///< the call takes effect, but its answer is lost; the result is NoAnswer
    Delayed, ///< the result is NoAnswer; the call takes effect only when deliverDelayed() is called
    Stale, ///< a read returns the state before the last change of the object
    Down, ///< the call isn't sent; the result is Unreachable
};

class FakeStore
{
public:
    ObjectResult call(const ObjectCall &objectCall, CallFault fault = CallFault::None)
    {
        if (fault == CallFault::Down) {
            return StoreError {StoreFault::Unreachable, "down"};
        }
        if (fault == CallFault::Delayed) {
            m_delayed.push_back(objectCall);
        }
        if (fault == CallFault::LostBefore || fault == CallFault::Delayed) {
            return StoreError {StoreFault::NoAnswer, "lost"};
        }
        auto result = std::visit([&](const auto &typed) { return apply(typed, fault == CallFault::Stale); }, objectCall);
        return fault == CallFault::LostAfter ? ObjectResult(StoreError {StoreFault::NoAnswer, "lost"}) : result;
    }

    /// Makes a call and ignores its result.
    void perform(const ObjectCall &objectCall) { static_cast<void>(call(objectCall)); }

    /// Applies the delayed calls.
    void deliverDelayed()
    {
        for (const auto &objectCall : std::exchange(m_delayed, {})) {
            perform(objectCall);
        }
    }

    const StoredObject *find(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }
    std::size_t count(const std::string &prefix) const
    {
        return std::count_if(m_objects.begin(), m_objects.end(), [&](const auto &item) { return item.first.starts_with(prefix); });
    }
    /// Called for every written object, in the order of the writes.
    std::function<void(const StoredObject &)> written;

private:
    ObjectResult apply(const ReadCall &read, bool stale)
    {
        const auto &from = stale && m_previous.contains(read.key) ? m_previous : m_objects;
        const auto found = from.find(read.key);
        if (found == from.end() || found->second.version == 0) {
            return StoreError {StoreFault::NotFound, {}};
        }
        return ObjectAnswer(found->second);
    }
    ObjectResult apply(const ListCall &list, bool /*stale*/)
    {
        ObjectList answer {m_revision, {}};
        for (const auto &[key, object] : m_objects) {
            if (key.starts_with(list.prefix)) {
                answer.objects.push_back(object);
            }
        }
        return ObjectAnswer(answer);
    }
    ObjectResult apply(const CreateCall &create, bool /*stale*/)
    {
        if (m_objects.contains(create.key)) {
            return StoreError {StoreFault::Conflict, {}};
        }
        return put(create.key, create.value);
    }
    ObjectResult apply(const ReplaceCall &replace, bool /*stale*/)
    {
        const auto *object = find(replace.key);
        if (object == nullptr || object->version != replace.expected) {
            return StoreError {object == nullptr ? StoreFault::NotFound : StoreFault::Conflict, {}};
        }
        return put(replace.key, replace.value);
    }
    ObjectResult apply(const RemoveCall &remove, bool /*stale*/)
    {
        const auto *object = find(remove.key);
        if (object == nullptr || object->version != remove.expected) {
            return StoreError {object == nullptr ? StoreFault::NotFound : StoreFault::Conflict, {}};
        }
        m_previous[remove.key] = *object;
        m_objects.erase(remove.key);
        return ObjectAnswer(Removed {});
    }
    ObjectResult put(const std::string &key, const std::string &value)
    {
        const auto *before = find(key);
        m_previous[key] = before != nullptr ? *before : StoredObject {key, 0, {}};
        m_objects[key] = {key, ++m_revision, value};
        if (written) {
            written(m_objects[key]);
        }
        return ObjectAnswer(Written {m_revision});
    }

    std::uint64_t m_revision = 0;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, StoredObject> m_previous;
    std::vector<ObjectCall> m_delayed;
};
}
