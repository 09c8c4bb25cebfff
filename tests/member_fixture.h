#pragma once

#include <plumsill/config.h>
#include <plumsill/membership.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

/// One membership state machine; the test sends the messages of its peers.
namespace plumsill::fake
{
using namespace std::chrono_literals;

inline Member member(const std::string &name, std::uint64_t incarnation = 1000)
{
    Member made;
    made.id = {InstanceName {name}, incarnation};
    made.zone.value = "z" + std::to_string(name.back() % 3);
    made.peer = {"10.0.0." + std::to_string(static_cast<int>(name.back())), 7000};
    made.admin = made.peer;
    made.listed = true;
    return made;
}

inline std::vector<Member> members(const std::vector<std::string> &names)
{
    std::vector<Member> made;
    made.reserve(names.size());
    for (const auto &name : names) {
        made.push_back(member(name));
    }
    return made;
}

inline Roster roster(std::uint64_t epoch, const std::vector<std::string> &names, const std::vector<std::string> &predecessor)
{
    return {epoch, members(names), members(predecessor), {}};
}

struct MemberFixture {
    explicit MemberFixture(const std::string &name = "a", std::uint64_t incarnation = 1000)
        : membership(member(name, incarnation), {}, now)
    {
        membership.serving();
    }

    void read(const Roster &stored) { append(membership.rosterRead(StoredRoster {stored, stored.epoch}, now)); }
    void receive(const MemberId &sender, std::uint64_t epoch, const Message &message)
    {
        Endpoint endpoint = member(sender.name.value).peer;
        append(membership.receive({sender, endpoint, epoch, message}, now));
    }
    void tick(Duration step = Duration::zero())
    {
        now += step;
        append(membership.tick(now));
    }
    /// Sequence of the heartbeat that was sent last.
    std::uint64_t lastHeartbeat() const
    {
        for (auto effect = effects.rbegin(); effect != effects.rend(); ++effect) {
            const auto *sent = std::get_if<SendDatagram>(&*effect);
            const auto *heartbeat = sent ? std::get_if<Heartbeat>(&sent->envelope.message) : nullptr;
            if (heartbeat) {
                return heartbeat->sequence;
            }
        }
        return 0;
    }
    /// The members @p names acknowledge the last heartbeat in @p epoch.
    void answer(const std::vector<std::string> &names, std::uint64_t epoch, const DocumentStamp &document = {})
    {
        for (const auto &name : names) {
            answerAs(member(name).id, epoch, document);
        }
    }
    void answerAs(const MemberId &id, std::uint64_t epoch, const DocumentStamp &document = {})
    {
        receive(id, epoch, HeartbeatAck {lastHeartbeat(), MemberState::Serving, document, false, 0});
    }
    /// Advances the time while the members @p names acknowledge every heartbeat.
    void runAnswered(Duration duration, const std::vector<std::string> &names, std::uint64_t epoch)
    {
        for (const TimePoint end = now + duration; now < end;) {
            tick(100ms);
            answer(names, epoch);
        }
    }
    void listInstances(const std::vector<std::string> &names)
    {
        std::vector<ListedInstance> shown;
        shown.reserve(names.size());
        for (const auto &name : names) {
            shown.push_back({InstanceName {name}, false});
        }
        membership.instancesListed(shown, now);
    }
    template<class Effect>
    std::optional<Effect> last() const
    {
        for (auto effect = effects.rbegin(); effect != effects.rend(); ++effect) {
            if (const auto *found = std::get_if<Effect>(&*effect)) {
                return *found;
            }
        }
        return std::nullopt;
    }
    bool confirmed() const { return membership.epochConfirmed(now); }

    TimePoint now {1h};
    Membership membership;
    MembershipEffects effects;

private:
    void append(const MembershipEffects &more) { effects.insert(effects.end(), more.begin(), more.end()); }
};
}
