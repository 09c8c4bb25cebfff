#pragma once

#include <plumsill/clock.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// In-memory model of the object service of the users' platform, without a network. Used by the stand-in and its tests.
namespace plumsill::standin
{
namespace json = boost::json;

/// Result of a call. Only calls that end with Done or Created may have changed an object.
enum class ObjectOutcome
{
    Done,
    Created,
    Missing,
    Conflict,
    Malformed,
};

struct ObjectReply {
    ObjectOutcome outcome = ObjectOutcome::Done;
    std::optional<json::object> object; ///< object after the call; in a conflict, the existing object
};

/// One page of a list of objects.
struct ObjectPage {
    std::vector<json::object> items;
    bool more = false;
    std::uint64_t revision = 0;
};

struct ObjectEvent {
    json::object object;
    bool deleted = false;
};

/// Versioned objects by kind and name, with one revision counter for all of them and a history of changes.
class ObjectStore
{
public:
    static constexpr std::size_t PageItems = 500; // page size of the platform

    std::uint64_t revision() const { return m_revision; }

    std::optional<json::object> read(const std::string &kind, const std::string &name) const
    {
        const auto found = m_objects.find({kind, name});
        return found == m_objects.end() ? std::nullopt : std::optional(found->second);
    }

    ObjectPage list(const std::string &kind, const std::string &after) const
    {
        ObjectPage page;
        page.revision = m_revision;
        for (auto place = m_objects.upper_bound({kind, after}); place != m_objects.end() && place->first.first == kind; ++place) {
            if (page.items.size() == PageItems) {
                page.more = true;
                break;
            }
            page.items.push_back(place->second);
        }
        return page;
    }

    /// Changes of the objects of a kind after the revision @p from; nothing if the history no longer holds all of them.
    std::optional<std::vector<ObjectEvent>> events(const std::string &kind, std::uint64_t from) const
    {
        if (from < m_expiredRevision || from > m_revision) {
            return std::nullopt;
        }
        std::vector<ObjectEvent> events;
        for (const auto &change : m_history) {
            if (change.revision > from && change.kind == kind) {
                events.push_back({change.object, change.deleted});
            }
        }
        return events;
    }

    ObjectReply create(const std::string &kind, const json::object &body)
    {
        const auto name = nameIn(body);
        if (name.empty()) {
            return {ObjectOutcome::Malformed, {}};
        }
        if (auto existing = read(kind, name)) {
            return {ObjectOutcome::Conflict, std::move(existing)};
        }
        json::object object {{"metadata", {{"name", name}, {"created-rev", m_revision + 1}, {"finalizers", json::array()}, {"deleting", false}}},
                             {"spec", valueIn(body, "spec")},
                             {"status", json::object()}};
        return {ObjectOutcome::Created, store(kind, name, std::move(object))};
    }

    /// Replaces the member @p part, "spec" or "status". Removes an object that is marked as deleting when its last finalizer is removed.
    /// If @p expected is given, the object must have that revision.
    ObjectReply replace(const std::string &kind, const std::string &name, const char *part, const json::object &body, std::optional<std::uint64_t> expected)
    {
        auto existing = read(kind, name);
        if (!existing) {
            return {ObjectOutcome::Missing, {}};
        }
        if (expected && *expected != revisionOf(*existing)) {
            return {ObjectOutcome::Conflict, std::move(existing)};
        }
        json::object object = *existing;
        object[part] = valueIn(body, part);
        if (part == std::string_view("spec")) {
            const auto *finalizers = finalizersIn(body);
            if (finalizers != nullptr) {
                object.at("metadata").as_object()["finalizers"] = *finalizers;
            }
        }
        if (object == *existing) {
            return {ObjectOutcome::Done, std::move(existing)};
        }
        const bool removed = object.at("metadata").at("deleting").as_bool() && object.at("metadata").at("finalizers").as_array().empty();
        if (removed) {
            erase(kind, name);
            return {ObjectOutcome::Done, std::move(object)};
        }
        return {ObjectOutcome::Done, store(kind, name, std::move(object))};
    }

    /// Removes an object. An object with finalizers is only marked as deleting, unless @p force is set, as it is for expired target entries.
    /// If @p expected is given, the object must have that revision.
    ObjectReply remove(const std::string &kind, const std::string &name, std::optional<std::uint64_t> expected, bool force = false)
    {
        auto existing = read(kind, name);
        if (!existing) {
            return {ObjectOutcome::Missing, {}};
        }
        if (expected && *expected != revisionOf(*existing)) {
            return {ObjectOutcome::Conflict, std::move(existing)};
        }
        auto &metadata = existing->at("metadata").as_object();
        if (!force && !metadata.at("finalizers").as_array().empty()) {
            metadata["deleting"] = true;
            return {ObjectOutcome::Done, store(kind, name, std::move(*existing))};
        }
        erase(kind, name);
        return {ObjectOutcome::Done, std::move(existing)};
    }

    /// Discards the history, so that watches of an older revision have to list again.
    void compact()
    {
        m_history.clear();
        m_expiredRevision = m_revision;
    }

    /// Keeps a copy of all objects and of the revision.
    void copy() { m_copy = {m_objects, m_revision}; }

    /// Comes back from the last copy: what was written since is gone, and its revisions are given out again. Watches have to list again.
    void restore()
    {
        m_objects = m_copy.objects;
        m_revision = m_copy.revision;
        m_history.clear();
        m_expiredRevision = m_revision;
        ++m_era;
    }

    /// Number of restores, plus one.
    std::uint64_t era() const { return m_era; }

    static std::uint64_t revisionOf(const json::object &object) { return object.at("metadata").at("revision").to_number<std::uint64_t>(); }

private:
    using Key = std::pair<std::string, std::string>;

    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        json::object object;
        bool deleted = false;
    };

    struct Copy {
        std::map<Key, json::object> objects;
        std::uint64_t revision = 1;
    };

    static constexpr std::size_t MaxHistoryChanges = 5000; // far more changes than the tests make between two reads

    static const json::object *metadataIn(const json::object &body)
    {
        const auto *metadata = body.if_contains("metadata");
        return metadata == nullptr ? nullptr : metadata->if_object();
    }

    static std::string nameIn(const json::object &body)
    {
        const auto *metadata = metadataIn(body);
        const auto *name = metadata == nullptr ? nullptr : metadata->if_contains("name");
        return name != nullptr && name->is_string() ? std::string(name->as_string()) : std::string();
    }

    static const json::array *finalizersIn(const json::object &body)
    {
        const auto *metadata = metadataIn(body);
        const auto *finalizers = metadata == nullptr ? nullptr : metadata->if_contains("finalizers");
        return finalizers == nullptr ? nullptr : finalizers->if_array();
    }

    static json::value valueIn(const json::object &body, const char *part)
    {
        const auto *value = body.if_contains(part);
        return value == nullptr ? json::value(json::object()) : *value;
    }

    json::object store(const std::string &kind, const std::string &name, json::object object)
    {
        object.at("metadata").as_object()["revision"] = ++m_revision;
        recordChange({m_revision, kind, object, false});
        m_objects[{kind, name}] = object;
        return object;
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects.find({kind, name});
        json::object object = std::move(found->second);
        m_objects.erase(found);
        object.at("metadata").as_object()["revision"] = ++m_revision;
        recordChange({m_revision, kind, std::move(object), true});
    }

    void recordChange(Change change)
    {
        m_history.push_back(std::move(change));
        if (m_history.size() > MaxHistoryChanges) {
            m_expiredRevision = m_history.front().revision;
            m_history.pop_front();
        }
    }

    std::map<Key, json::object> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    Copy m_copy;
    std::uint64_t m_era = 1;
    std::uint64_t m_expiredRevision = 0; ///< newest revision that the history no longer holds
};
}
