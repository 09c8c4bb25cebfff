#include "control_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

namespace plumsill
{
HealthControl::HealthControl(Control &control)
    : m_control(control)
    , m_local({control.membership().membership().self().id, control.settings().zone})
{ }

boost::asio::awaitable<void> HealthControl::run()
{
    while (true) {
        co_await sleepFor(config::ControlTick);
        for (const auto &effect : m_local.tick(RuntimeClock::now())) {
            if (const auto *event = std::get_if<HealthEvent>(&effect)) {
                log(*event);
                m_control.requestPublish();
                continue;
            }
            const auto &digest = std::get<SendDigest>(effect).digest;
            const Member *owner = m_control.membership().ownership().ownerOf(VerdictKey {digest.service});
            if (owner != nullptr) {
                m_control.send(owner->peer, digest);
            }
        }
    }
}

void HealthControl::report(const TrafficReport &report)
{
    const TimePoint now = RuntimeClock::now();
    for (const auto &[service, targets] : report.evidence) {
        std::vector<TargetEvidence> evidence;
        for (const auto &[name, value] : targets) {
            evidence.push_back(value);
        }
        m_local.record(service, evidence, now);
    }
    leavingTargetsReceived(report.leavingTargets);
}

void HealthControl::leavingTargetsReceived(const std::vector<LeavingTarget> &targets)
{
    const TimePoint now = RuntimeClock::now();
    for (const auto &target : targets) {
        m_local.recordLeaving(target, now);
        m_control.requestPublish();
    }
}

void HealthControl::received(const Envelope &envelope, const HealthDigest &digest)
{
    evaluateDigest(envelope.sender, digest);
}

void HealthControl::evaluateDigest(const MemberId &from, const HealthDigest &digest)
{
    const TimePoint now = RuntimeClock::now();
    EvidenceSource source {from, {}};
    std::optional<Endpoint> replyTo;
    for (const auto &member : m_control.membership().membership().roster().members) {
        if (member.id == from) {
            source.zone = member.zone;
            replyTo = member.peer;
        }
    }
    if (!replyTo) {
        return;
    }
    m_owner.setTargets(digest.service, m_local.targets(digest.service), now);
    // Verdicts depend on the floor, which is set in the document. A daemon that may hold an outdated document must
    // therefore not decide which targets are ejected.
    const auto &membership = m_control.membership();
    const bool mayAct = membership.ownership().mayAct(VerdictKey {digest.service}, now) && membership.membership().documentConfirmed(now);
    for (const auto &effect : m_owner.handleDigest(source, digest, mayAct, now)) {
        if (const auto *event = std::get_if<HealthEvent>(&effect)) {
            log(*event);
        } else {
            m_control.send(*replyTo, std::get<SendVerdict>(effect).verdict);
        }
    }
}

void HealthControl::received(const Envelope &envelope, const Verdict &verdict)
{
    if (m_local.handleVerdict(envelope.epoch, verdict, RuntimeClock::now())) {
        m_control.requestPublish();
    }
}

void HealthControl::documentChanged(const Document &document)
{
    m_services.clear();
    for (const auto &service : document.services) {
        m_services.push_back(service.name);
    }
    m_local.setServices(document.services);
    m_owner.setServices(document.services);
    setTargets();
}

void HealthControl::listsChanged()
{
    setTargets();
}

void HealthControl::setTargets()
{
    const TimePoint now = RuntimeClock::now();
    std::map<ServiceName, std::vector<Target>> byService;
    for (const auto &target : m_control.lists().targets) {
        byService[target.service].push_back(target);
    }
    for (const auto &service : m_services) {
        m_local.setTargets(service, byService[service], now);
    }
}

void HealthControl::log(const HealthEvent &event) const
{
    if (const auto *ejected = std::get_if<TargetEjected>(&event)) {
        logWarning(LogPart::Health, "target " + ejected->unhealthyTarget.target.value + " ejected: " + toString(ejected->unhealthyTarget.cause));
        return;
    }
    const auto &returned = std::get<TargetReturned>(event);
    logInfo(LogPart::Health, "target " + returned.target.value + (returned.forFloor ? " returned for the floor" : " returned"));
}
}
