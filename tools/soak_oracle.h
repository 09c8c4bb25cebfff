#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Checks of the soak. They compare observations at callers, targets and the object service with the fleet's guarantees.
namespace plumsill::soak
{
/// Unix time in milliseconds; all processes of a machine read the same clock.
using Time = std::int64_t;

/// Limits that the fleet must keep when it runs on the users' platform; times in milliseconds.
struct OracleBounds {
    Time keyLifetime = 5000; ///< maximum time in which a key is used after the document that withdraws it was accepted
    Time drainTime = 2000; ///< maximum time in which a target gets requests after the object service listed it as leaving
    Time documentPropagation = 2000; ///< maximum time from the acceptance of a document until it is in force everywhere
    Time versionRegressionGrace = 250; ///< how long a daemon may still use an older version after its first use of a newer one
    Time quotaWindow = 5000;
    double quotaTolerance = 0.1; ///< share of the quota by which a team may exceed it
    double quotaSlack = 20; ///< number of requests by which a team may exceed its quota in addition to quotaTolerance
};

/// A request as a caller sends it.
struct SentRequest {
    std::string id;
    std::string daemon; ///< name of the daemon and number of its run, such as "name#3"
    std::string method;
    std::string path;
    std::string key;
    std::string team; ///< team that holds the key; empty where no team holds it or the route needs no key
    bool mayRun = true; ///< false: no team holds the key, so no target may run the request
    bool idempotent = true;
    unsigned version = 0; ///< version of the document that added the route; 0: all documents have the route
    Time sentAt = 0;
};

/// How a request ended at its caller.
enum class Ending
{
    Answered,
    ClosedWithoutAnswer, ///< the connection ended before the answer was complete
    TimedOut, ///< no answer came within the caller's timeout
    NotSent, ///< no connection could be opened
};

/// What a caller saw of a request.
struct CallerResult {
    Ending ending = Ending::Answered;
    unsigned status = 0;
    bool matchesRequest = true; ///< the answer is complete and its signature is the one for this request
    bool undisturbed = false; ///< neither the daemon nor the object service was disturbed; a planned stop is no disturbance
    Time endedAt = 0;
};

/// A run of a request, as a target recorded it.
struct TargetRun {
    std::string id;
    std::string method;
    std::string path;
    std::string team;
    std::string target;
};

struct Violation {
    std::string rule;
    std::string text;

    auto operator<=>(const Violation &) const = default;
};

struct TeamQuota {
    double rate = 0; ///< requests a second
    double burst = 0;
};

/// Collects the observations of a soak test run and reports violations of the fleet's guarantees.
class Oracle
{
public:
    explicit Oracle(OracleBounds bounds = {}, std::map<std::string, TeamQuota> quotas = {})
        : m_bounds(bounds)
        , m_quotas(std::move(quotas))
    { }

    void documentAccepted(unsigned version, Time at) { m_documentsAcceptedAt[version] = at; }
    void keyAdded(const std::string &key, Time at) { m_keysAddedAt.try_emplace(key, at); }
    void keyWithdrawn(const std::string &key, Time at) { m_keysWithdrawnAt.try_emplace(key, at); }
    /// Sets the targets that are leaving or removed, each with the time at which the object service first listed it as such. Replaces the earlier ones.
    void setLeavingTargets(std::map<std::string, Time> leavingSince) { m_targetsLeavingSince = std::move(leavingSince); }

    void requestSent(const SentRequest &sentRequest) { m_requests[sentRequest.id].sentRequest = sentRequest; }

    void requestEnded(const std::string &id, const CallerResult &callerResult)
    {
        Request &request = m_requests.at(id);
        request.callerResult = callerResult;
        if (callerResult.ending == Ending::Answered && !callerResult.matchesRequest) {
            fail("MIXED", request.sentRequest, "an answer with status " + std::to_string(callerResult.status) + " doesn't belong to this request");
        }
        if (callerResult.ending == Ending::TimedOut && callerResult.undisturbed) {
            fail("SILENT", request.sentRequest, "no answer within the caller's timeout");
        }
        checkUnexpectedDenial(request);
        checkDocument(request);
        checkRunAgainstResult(request);
    }

    void targetRan(const TargetRun &run)
    {
        const auto found = m_requests.find(run.id);
        if (found == m_requests.end()) {
            m_violations.push_back({"UNASKED", run.target + " ran " + run.id + ", which nobody sent"});
            return;
        }
        Request &request = found->second;
        const SentRequest &sentRequest = request.sentRequest;
        ++request.runs;
        if (sentRequest.method != run.method || sentRequest.path != run.path || sentRequest.team != run.team) {
            fail("UNASKED", sentRequest, "ran as " + run.method + " " + run.path + " of team '" + run.team + "'");
        }
        if (!sentRequest.mayRun) {
            fail("KEY", sentRequest, "ran with a key that no team holds");
        }
        if (!sentRequest.idempotent && request.runs > 1) {
            fail("TWICE", sentRequest, "ran " + std::to_string(request.runs) + " times");
        }
        const auto withdrawn = m_keysWithdrawnAt.find(sentRequest.key);
        if (withdrawn != m_keysWithdrawnAt.end() && sentRequest.sentAt > withdrawn->second + m_bounds.keyLifetime) {
            fail("KEY", sentRequest, "ran " + std::to_string(sentRequest.sentAt - withdrawn->second) + " ms after its key was withdrawn");
        }
        const auto leavingSince = m_targetsLeavingSince.find(run.target);
        if (leavingSince != m_targetsLeavingSince.end() && sentRequest.sentAt > leavingSince->second + m_bounds.drainTime) {
            request.drainedTarget = run.target;
        }
        if (!sentRequest.team.empty()) {
            m_runsOfTeam[sentRequest.team].push_back(sentRequest.sentAt);
        }
        checkRunAgainstResult(request);
    }

    /// Checks the quotas. Must be called after the last run was recorded, because runs are recorded in any order.
    void finish()
    {
        for (auto &[team, times] : m_runsOfTeam) {
            checkQuota(team, times);
        }
    }

    std::vector<Violation> takeViolations() { return std::exchange(m_violations, {}); }
    std::size_t requests() const { return m_requests.size(); }

    /// Share of the requests sent since @p from that got status 200. Leaves out requests that may be refused because of a
    /// quota, a key or a removed route.
    double servedSince(Time from) const
    {
        unsigned counted = 0;
        unsigned served = 0;
        for (const auto &[id, request] : m_requests) {
            const bool refusable = !request.sentRequest.mayRun || m_quotas.contains(request.sentRequest.team)
                || m_keysWithdrawnAt.contains(request.sentRequest.key) || request.sentRequest.version != 0;
            if (request.sentRequest.sentAt >= from && request.callerResult && !refusable) {
                ++counted;
                served += request.callerResult->status == 200 ? 1 : 0;
            }
        }
        return counted == 0 ? 0 : static_cast<double>(served) / counted;
    }

private:
    struct Request {
        SentRequest sentRequest;
        std::optional<CallerResult> callerResult;
        unsigned runs = 0;
        std::string drainedTarget; ///< target that ran the request after its drain time had passed
        bool refusalReported = false;
        bool lossReported = false;
        bool drainReported = false;
    };

    static bool meansNotRun(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

    void fail(const std::string &rule, const SentRequest &sentRequest, const std::string &what)
    {
        m_violations.push_back({rule, sentRequest.id + " (" + sentRequest.method + " " + sentRequest.path + " at " + sentRequest.daemon + "): " + what});
    }

    // The reports of a request's runs and of its answer arrive in any order, so this check is made after each report.
    void checkRunAgainstResult(Request &request)
    {
        if (!request.callerResult || request.runs == 0) {
            return;
        }
        const CallerResult &callerResult = *request.callerResult;
        if (!request.sentRequest.idempotent && callerResult.ending == Ending::Answered && meansNotRun(callerResult.status)
            && !std::exchange(request.refusalReported, true)) {
            fail("REFUSED", request.sentRequest, "was refused with status " + std::to_string(callerResult.status) + " and ran");
        }
        if (callerResult.ending == Ending::ClosedWithoutAnswer && callerResult.undisturbed && !std::exchange(request.lossReported, true)) {
            fail("LOST", request.sentRequest, "ran, and its connection ended without an answer");
        }
        if (!request.drainedTarget.empty() && callerResult.undisturbed && !std::exchange(request.drainReported, true)) {
            fail("DRAIN", request.sentRequest, "ran at " + request.drainedTarget + ", which had left");
        }
    }

    // Every daemon must accept a request whose key and route are in all versions of the document, even while it is cut off from the object service. A key that
    // was added later must be accepted by undisturbed daemons after documentPropagation.
    void checkUnexpectedDenial(const Request &request)
    {
        const unsigned status = request.callerResult->status;
        const auto addedAt = m_keysAddedAt.find(request.sentRequest.key);
        const bool held = addedAt == m_keysAddedAt.end()
            || (request.callerResult->undisturbed && request.sentRequest.sentAt > addedAt->second + m_bounds.documentPropagation);
        const bool acceptable = request.sentRequest.mayRun && request.sentRequest.version == 0 && held && !m_keysWithdrawnAt.contains(request.sentRequest.key);
        if (acceptable && (status == 401 || status == 403 || status == 404 || status == 400)) {
            fail("DENIED", request.sentRequest, "was refused with status " + std::to_string(status));
        }
    }

    // Every document version N adds one route, which stays in the documents of the versions N to N + KeptVersions - 1.
    void checkDocument(const Request &request)
    {
        const SentRequest &sentRequest = request.sentRequest;
        const CallerResult &callerResult = *request.callerResult;
        if (sentRequest.version == 0 || callerResult.ending != Ending::Answered) {
            return;
        }
        const auto [entry, first] = m_newestSeenVersion.try_emplace(sentRequest.daemon, std::pair<unsigned, Time> {0, 0});
        auto &[newestSeen, seenAt] = entry->second;
        if (callerResult.status != 404) {
            if (callerResult.status == 200 && sentRequest.version > newestSeen) {
                newestSeen = sentRequest.version;
                seenAt = callerResult.endedAt;
            }
            return;
        }
        const bool routeExists = m_documentsAcceptedAt.empty() || m_documentsAcceptedAt.rbegin()->first < sentRequest.version + KeptVersions;
        if (!routeExists) {
            return;
        }
        if (newestSeen >= sentRequest.version && sentRequest.sentAt > seenAt + m_bounds.versionRegressionGrace) {
            fail("BACKWARDS", sentRequest, "no route of version " + std::to_string(sentRequest.version) + " after one of " + std::to_string(newestSeen));
        }
        const auto accepted = m_documentsAcceptedAt.find(sentRequest.version);
        if (callerResult.undisturbed && accepted != m_documentsAcceptedAt.end() && sentRequest.sentAt > accepted->second + m_bounds.documentPropagation) {
            fail("CONFIG", sentRequest,
                 "version " + std::to_string(sentRequest.version) + " is not in force after " + std::to_string(sentRequest.sentAt - accepted->second) + " ms");
        }
    }

    void checkQuota(const std::string &team, std::vector<Time> &times)
    {
        const auto quota = m_quotas.find(team);
        if (quota == m_quotas.end()) {
            return;
        }
        std::sort(times.begin(), times.end());
        const double window = static_cast<double>(m_bounds.quotaWindow) / 1000;
        const double maxRuns = (quota->second.rate * window + quota->second.burst) * (1 + m_bounds.quotaTolerance) + m_bounds.quotaSlack;
        std::size_t worst = 0;
        Time worstAt = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= m_bounds.quotaWindow) {
                ++first;
            }
            if (last - first + 1 > worst) {
                worst = last - first + 1;
                worstAt = times[first];
            }
        }
        if (static_cast<double>(worst) > maxRuns) {
            m_violations.push_back(
                {"QUOTA",
                 team + ": " + std::to_string(worst) + " runs in the window from " + std::to_string(worstAt) + ", at most " + std::to_string(maxRuns)});
        }
    }

public:
    static constexpr unsigned KeptVersions = 3; ///< a route is in this many successive document versions, beginning with the version that added it

private:
    OracleBounds m_bounds;
    std::map<std::string, TeamQuota> m_quotas;
    std::map<std::string, Request> m_requests;
    std::map<unsigned, Time> m_documentsAcceptedAt;
    std::map<std::string, Time> m_keysAddedAt; ///< keys that were not in the first document, with the time at which each was added
    std::map<std::string, Time> m_keysWithdrawnAt;
    std::map<std::string, Time> m_targetsLeavingSince;
    std::map<std::string, std::pair<unsigned, Time>>
        m_newestSeenVersion; ///< by run of a daemon: newest document version that it used, and when it first answered by it
    std::map<std::string, std::vector<Time>> m_runsOfTeam; ///< by team: times at which the requests that ran were sent
    std::vector<Violation> m_violations;
};
}
