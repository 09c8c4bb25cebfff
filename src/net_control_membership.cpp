#include "control_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace plumsill
{
namespace
{
// Each environment has one cell, number 0; further cells would have other numbers.
std::string rosterKey(const std::string &environment)
{
    return "cells/" + environment + "/0/roster";
}

RosterWriteResult resultOf(const ObjectResult &written)
{
    if (written) {
        return RosterWriteResult::Written;
    }
    switch (written.error().fault) {
    case StoreFault::Conflict:
    case StoreFault::Unreachable:
    case StoreFault::Throttled:
    case StoreFault::NotFound:
    case StoreFault::TooLarge:
        return RosterWriteResult::Conflict;
    case StoreFault::NoAnswer:
    case StoreFault::Expired:
    case StoreFault::Malformed:
    case StoreFault::Stale:
        return RosterWriteResult::Unknown;
    }
    return RosterWriteResult::Unknown;
}
}

MembershipControl::MembershipControl(Control &control, Member self, std::vector<Endpoint> seeds)
    : m_control(control)
    , m_membership(std::move(self), std::move(seeds), RuntimeClock::now())
    , m_ownership(m_membership)
{ }

boost::asio::awaitable<void> MembershipControl::run()
{
    while (true) {
        const TimePoint now = RuntimeClock::now();
        m_membership.leavingTargetsChanged(m_control.health().leavingTargetsForHeartbeat(now));
        carryOut(m_membership.tick(now));
        co_await sleepFor(config::ControlTick);
    }
}

void MembershipControl::received(const Envelope &envelope)
{
    carryOut(m_membership.receive(envelope, RuntimeClock::now()));
}

std::optional<Envelope> MembershipControl::respond(const Envelope &request)
{
    return m_membership.respond(request);
}

void MembershipControl::carryOut(const MembershipEffects &effects)
{
    for (const auto &effect : effects) {
        if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
            (void)m_control.peers().sendDatagram(datagram->to, datagram->envelope);
        } else if (const auto *fetch = std::get_if<FetchRoster>(&effect)) {
            boost::asio::co_spawn(m_control.context(), fetchRoster(*fetch), boost::asio::detached);
        } else if (std::holds_alternative<ReadRoster>(effect)) {
            boost::asio::co_spawn(m_control.context(), readRoster(), boost::asio::detached);
        } else if (const auto *write = std::get_if<WriteRoster>(&effect)) {
            boost::asio::co_spawn(m_control.context(), writeRoster(*write), boost::asio::detached);
        } else if (std::holds_alternative<ReadDocument>(effect)) {
            boost::asio::co_spawn(m_control.context(), m_control.document().refresh(), boost::asio::detached);
        } else if (const auto *adopted = std::get_if<RosterAdopted>(&effect)) {
            m_ownership.update();
            m_control.epochAdopted(adopted->epoch);
        }
    }
}

boost::asio::awaitable<void> MembershipControl::readRoster()
{
    const std::string key = rosterKey(m_control.settings().environment);
    const auto stored = co_await m_control.store().read(key);
    const TimePoint now = RuntimeClock::now();
    if (!stored && stored.error().fault == StoreFault::NotFound) {
        carryOut(m_membership.rosterRead(std::nullopt, now));
        co_return;
    }
    const auto roster = stored ? rosterFromJson(stored.value().value) : std::nullopt;
    if (!roster) {
        carryOut(m_membership.rosterReadFailed(now));
        co_return;
    }
    carryOut(m_membership.rosterRead(StoredRoster {*roster, stored.value().version}, now));
}

boost::asio::awaitable<void> MembershipControl::writeRoster(WriteRoster write)
{
    const std::string value = toJson(write.roster);
    const std::string key = rosterKey(m_control.settings().environment);
    ObjectCall call = CreateCall {key, value};
    if (write.replaces) {
        call = ReplaceCall {key, value, *write.replaces};
    }
    const ObjectResult written = co_await m_control.store().call(call);
    const std::uint64_t version = written ? std::get<Written>(written.value()).version : 0;
    carryOut(m_membership.rosterWritten(resultOf(written), version, RuntimeClock::now()));
}

boost::asio::awaitable<void> MembershipControl::fetchRoster(FetchRoster fetch)
{
    const auto reply = co_await m_control.peers().request(fetch.from, fetch.envelope);
    if (reply) {
        received(reply.value());
    }
}
}
