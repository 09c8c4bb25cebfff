#include <plumsill/roster.h>

#include <boost/json.hpp>

#include <set>

namespace plumsill
{
namespace
{
namespace json = boost::json;

json::value toValue(const Endpoint &endpoint)
{
    return {{"address", endpoint.address}, {"port", endpoint.port}};
}

json::value toValue(const Member &member)
{
    return {
        {"name", member.id.name.value}, {"incarnation", member.id.incarnation}, {"zone", member.zone.value},
        {"peer", toValue(member.peer)}, {"admin", toValue(member.admin)},       {"listed", member.listed},
    };
}

json::array toValue(const std::vector<Member> &members)
{
    json::array values;
    for (const auto &member : members) {
        values.push_back(toValue(member));
    }
    return values;
}

std::string textAt(const json::object &object, const char *key)
{
    return json::value_to<std::string>(object.at(key));
}

std::uint64_t numberAt(const json::object &object, const char *key)
{
    return object.at(key).to_number<std::uint64_t>();
}

Endpoint endpointOf(const json::object &object)
{
    return {textAt(object, "address"), object.at("port").to_number<std::uint16_t>()};
}

Member memberOf(const json::object &object)
{
    return {
        .id = {InstanceName {textAt(object, "name")}, numberAt(object, "incarnation")},
        .zone = ZoneName {textAt(object, "zone")},
        .peer = endpointOf(object.at("peer").as_object()),
        .admin = endpointOf(object.at("admin").as_object()),
        .listed = object.at("listed").as_bool(),
    };
}

std::vector<Member> membersOf(const json::array &values)
{
    std::vector<Member> members;
    for (const auto &value : values) {
        members.push_back(memberOf(value.as_object()));
    }
    return members;
}

bool namesAreUnique(const std::vector<Member> &members)
{
    std::set<InstanceName> names;
    for (const auto &member : members) {
        if (member.id.name.empty() || !names.insert(member.id.name).second) {
            return false;
        }
    }
    return true;
}

Roster rosterOf(const json::object &object)
{
    const auto &document = object.at("document").as_object();
    return {
        .epoch = numberAt(object, "epoch"),
        .members = membersOf(object.at("members").as_array()),
        .predecessor = membersOf(object.at("predecessor").as_array()),
        .document = {numberAt(document, "version"), textAt(document, "digest")},
    };
}
}

std::string toJson(const Roster &roster)
{
    const json::value value = {
        {"epoch", roster.epoch},
        {"members", toValue(roster.members)},
        {"predecessor", toValue(roster.predecessor)},
        {"document", {{"version", roster.document.version}, {"digest", roster.document.digest}}},
    };
    return json::serialize(value);
}

std::optional<Roster> rosterFromJson(const std::string &text)
{
    try {
        const Roster roster = rosterOf(json::parse(text).as_object());
        const bool valid = roster.epoch > 0 && !roster.members.empty() && namesAreUnique(roster.members) && namesAreUnique(roster.predecessor);
        return valid ? std::optional(roster) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
}
