#include "fleet_oracle.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>

using namespace plumsill;
using namespace plumsill::fake;

namespace
{
constexpr std::size_t Members = 5;
constexpr std::size_t Joiner = Members;
constexpr auto FaultLength = 15s;
constexpr auto StepTimeout = 40s;
constexpr auto SettleTimeout = 30s;

enum class Role
{
    Owner,
    OtherMember,
    Joiner,
};

enum class Step
{
    Heartbeat,
    Adopt,
    WriteRoster,
    HandOver,
};

struct Fault {
    const char *name;
    std::function<void(Fleet &, std::size_t)> begin;
    std::function<void(Fleet &, std::size_t)> end;
};

void noAction(Fleet &, std::size_t) { }

std::vector<Fault> allFaults()
{
    const auto isolate = [](bool in, bool out, bool on) { return [=](Fleet &fleet, std::size_t node) { fleet.isolate(node, in, out, on); }; };
    const auto cutStore = [](bool on) { return [=](Fleet &fleet, std::size_t node) { fleet.nodes[node].storeCut = on; }; };
    const auto down = [](bool on) { return [=](Fleet &fleet, std::size_t) { fleet.store.down = on; }; };
    const auto slow = [](Duration delay) { return [=](Fleet &fleet, std::size_t) { fleet.store.delay = delay; }; };
    const auto lost = [](double share) { return [=](Fleet &fleet, std::size_t) { fleet.store.lostAnswers = share; }; };
    const auto stale = [](double share) { return [=](Fleet &fleet, std::size_t) { fleet.store.staleReads = share; }; };
    const auto crash = [](Fleet &fleet, std::size_t node) { fleet.crash(node); };
    const auto pause = [](Fleet &fleet, std::size_t node) { fleet.pause(node, 10s); };
    const auto pauseAndDown = [](Fleet &fleet, std::size_t node) {
        fleet.pause(node, 10s);
        fleet.store.down = true;
    };
    const auto crashAndLost = [](Fleet &fleet, std::size_t node) {
        fleet.crash(node);
        fleet.store.lostAnswers = 1;
    };
    return {
        {"crash", crash, noAction},
        {"pause past the lease", pause, noAction},
        {"cut to the store", cutStore(true), cutStore(false)},
        {"one-way cut, incoming", isolate(true, false, true), isolate(true, true, false)},
        {"one-way cut, outgoing", isolate(false, true, true), isolate(true, true, false)},
        {"cut both ways", isolate(true, true, true), isolate(true, true, false)},
        {"store down", down(true), down(false)},
        {"store slow", slow(4s), slow(5ms)},
        {"answer lost after the write", lost(1), lost(0)},
        {"stale read", stale(1), stale(0)},
        {"pause and store down", pauseAndDown, down(false)},
        {"crash and answer lost", crashAndLost, lost(0)},
    };
}

const char *nameOf(Role role)
{
    static constexpr std::array<const char *, 3> Names {"owner", "other member", "joiner"};
    return Names[static_cast<std::size_t>(role)];
}

const char *nameOf(Step step)
{
    static constexpr std::array<const char *, 4> Names {"heartbeat", "adopt", "write roster", "hand over"};
    return Names[static_cast<std::size_t>(step)];
}

/// One row of the matrix. Brings the subject, the daemon that the fault hits, to the step and injects the fault there. Then
/// ends the fault and waits until the fleet has settled.
class Row
{
public:
    Row(Role role, const Fault &fault, Step step)
        : m_fault(fault)
        , m_step(step)
        , m_fleet(Members + 1, 1, profile())
    {
        for (std::uint32_t number = 0; number < 40; ++number) {
            m_fleet.keys.push_back(PartKey {TeamName {"more" + std::to_string(number)}, number % 3});
        }
        for (std::size_t index = 0; index < Members; ++index) {
            m_fleet.start(index);
        }
        m_started = m_fleet.settle(StepTimeout).has_value();
        m_owner = m_fleet.actingFor(m_fleet.keys[0]).value_or(0);
        m_subject = role == Role::Owner ? m_owner : role == Role::Joiner ? Joiner : successor();
        while (m_thirdMember == m_owner || m_thirdMember == m_subject) {
            ++m_thirdMember;
        }
    }

    std::string run()
    {
        if (!m_started) {
            return "did not start";
        }
        startScenario();
        for (Duration waited = Duration::zero(); !m_injected && waited < StepTimeout; waited += 100ms) {
            m_fleet.run(100ms);
        }
        if (!m_injected) {
            return "step not reached";
        }
        m_fleet.run(FaultLength);
        heal();
        const auto settled = m_fleet.settle(SettleTimeout);
        if (!m_fleet.violations.empty()) {
            return m_fleet.violations.front();
        }
        m_settled = settled.value_or(SettleTimeout);
        return settled ? std::string() : "not settled: " + m_fleet.unsettledReason();
    }

    Duration settled() const { return m_settled; }

private:
    static Profile profile()
    {
        Profile profile;
        profile.alwaysHandOver = true;
        return profile;
    }

    /// Index of the member that owns the first key once its current owner has left.
    std::size_t successor() const
    {
        std::vector<Member> others;
        for (std::size_t index = 0; index < Members; ++index) {
            if (index != m_owner) {
                others.push_back(m_fleet.nodes[index].self);
            }
        }
        const Member next = *OwnerTable(others).ownerOf(m_fleet.keys[0]);
        std::size_t index = 0;
        while (m_fleet.nodes[index].self.id != next.id) {
            ++index;
        }
        return index;
    }

    void injectFault()
    {
        if (m_injected) {
            return;
        }
        m_injected = true;
        m_fleet.at(Duration::zero(), [this] { m_fault.begin(m_fleet, m_subject); });
    }

    void heal()
    {
        m_fault.end(m_fleet, m_subject);
        for (Node &node : m_fleet.nodes) {
            node.storeCut = false;
        }
        if (m_leavingMember) {
            m_fleet.crash(*m_leavingMember);
        }
    }

    void startScenario()
    {
        switch (m_step) {
        case Step::Heartbeat:
            startHeartbeatScenario();
            return;
        case Step::Adopt:
            startAdoptionScenario();
            return;
        case Step::WriteRoster:
            startRosterWriteScenario();
            return;
        case Step::HandOver:
            startHandOverScenario();
            return;
        }
    }

    void startJoiner()
    {
        if (m_subject == Joiner) {
            m_fleet.start(Joiner);
        }
    }

    void leave(std::size_t index)
    {
        m_leavingMember = index;
        m_fleet.leave(index);
    }

    void startHeartbeatScenario()
    {
        startJoiner();
        m_fleet.onEffect = [this](std::size_t index, const MembershipEffect &effect) {
            const auto *sent = std::get_if<SendDatagram>(&effect);
            if (index == m_subject && sent && std::holds_alternative<Heartbeat>(sent->envelope.message)) {
                injectFault();
            }
        };
    }

    void startAdoptionScenario()
    {
        m_fleet.onEffect = [this](std::size_t index, const MembershipEffect &effect) {
            if (index == m_subject && std::holds_alternative<RosterAdopted>(effect)) {
                injectFault();
            }
        };
        startJoiner();
        leave(m_thirdMember);
    }

    // Only the subject can reach the store, so it writes the next roster.
    void startRosterWriteScenario()
    {
        m_fleet.onEffect = [this](std::size_t index, const MembershipEffect &effect) {
            if (index == m_subject && std::holds_alternative<WriteRoster>(effect)) {
                injectFault();
            }
        };
        for (std::size_t index = 0; index < Members; ++index) {
            m_fleet.nodes[index].storeCut = index != m_subject;
        }
        startJoiner();
        leave(m_thirdMember);
    }

    // Either the owner performs a planned stop or the joiner takes over keys. The subject is the sender or the receiver of
    // the hand-over.
    void startHandOverScenario()
    {
        m_fleet.onHandOver = [this](std::size_t from, const HandOver &handOver) {
            const auto *to = m_fleet.nodes[from].ownership->ownerOf(PartKey {handOver.team, handOver.part});
            if (from == m_subject || to->id == m_fleet.nodes[m_subject].self.id) {
                injectFault();
            }
        };
        startJoiner();
        if (m_subject != Joiner) {
            leave(m_owner);
        }
    }

    Fault m_fault;
    Step m_step;
    Fleet m_fleet;
    bool m_started = false;
    bool m_injected = false;
    std::size_t m_owner = 0; ///< owner of the first key
    std::size_t m_subject = 0; ///< daemon that the fault hits
    std::size_t m_thirdMember = 0; ///< a member that is neither the owner nor the subject; it leaves to cause a new epoch
    std::optional<std::size_t> m_leavingMember;
    Duration m_settled = Duration::zero();
};

int failedRows(Role role)
{
    int failed = 0;
    std::printf("\n");
    for (const Fault &fault : allFaults()) {
        for (const Step step : {Step::Heartbeat, Step::Adopt, Step::WriteRoster, Step::HandOver}) {
            Row row(role, fault, step);
            const auto failure = row.run();
            const auto result = failure.empty() ? "ok, settled in " + std::to_string(seconds(row.settled())).substr(0, 4) + " s" : "FAILED " + failure;
            std::printf("membership | %-12s | %-28s | %-12s | %s\n", nameOf(role), fault.name, nameOf(step), result.c_str());
            failed += static_cast<int>(!failure.empty());
        }
    }
    return failed;
}
}

TEST_GROUP(MatrixMembership) {};

TEST(MatrixMembership, Owner)
{
    LONGS_EQUAL(0, failedRows(Role::Owner));
}

TEST(MatrixMembership, OtherMember)
{
    LONGS_EQUAL(0, failedRows(Role::OtherMember));
}

TEST(MatrixMembership, Joiner)
{
    LONGS_EQUAL(0, failedRows(Role::Joiner));
}
