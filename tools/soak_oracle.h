#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// What the soak checks: facts from callers, targets and the object service against what the fleet promises.
namespace plumsill::soak
{
/// Unix time in milliseconds, which the processes of one machine share.
using Time = std::int64_t;

/// The fleet's bounds on the users' platform, in milliseconds.
struct OracleBounds {
    Time keyLifetime = 5000; ///< from the acceptance of the document that withdraws the key
    Time drain = 2000; ///< from the service's word that a target leaves
    Time documentInForce = 2000;
    Time regress = 250; ///< from the first sign of a version
    Time quotaWindow = 5000;
    double quotaOver = 0.1;
    double quotaSlack = 20; ///< requests
};

/// A request as a caller sends it.
struct Asked {
    std::string id;
    std::string daemon; ///< and its run, as "name#3"
    std::string method;
    std::string path;
    std::string key;
    std::string team; ///< that holds the key; empty: none does, or the route needs none
    bool mayRun = true; ///< false: its key is nobody's
    bool idempotent = true;
    unsigned version = 0; ///< of the document that brought its route; 0: all have it
    Time sentAt = 0;
};

enum class Ending
{
    Answered,
    Cut, ///< the connection ended without a whole answer
    Silent, ///< nothing came within the caller's time
    NotSent,
};

struct Told {
    Ending ending = Ending::Answered;
    unsigned status = 0;
    bool own = true; ///< what an answer of a target carries is this request's, whole and signed
    bool calm = false; ///< neither its daemon nor the service was disturbed; a planned stop is no disturbance
    Time endedAt = 0;
};

/// A run that a target has noted.
struct Ran {
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

class Oracle
{
public:
    explicit Oracle(OracleBounds bounds = {}, std::map<std::string, TeamQuota> quotas = {})
        : m_bounds(bounds)
        , m_quotas(std::move(quotas))
    { }

    void documentAccepted(unsigned version, Time at) { m_accepted[version] = at; }
    void keyGiven(const std::string &key, Time at) { m_given.try_emplace(key, at); }
    void keyWithdrawn(const std::string &key, Time at) { m_withdrawn.try_emplace(key, at); }
    /// Targets that are leaving or gone at present, and since when.
    void targetsLeft(std::map<std::string, Time> left) { m_left = std::move(left); }

    void asked(const Asked &asked) { m_requests[asked.id].asked = asked; }

    void told(const std::string &id, const Told &told)
    {
        Request &request = m_requests.at(id);
        request.told = told;
        if (told.ending == Ending::Answered && !told.own) {
            fail("MIXED", request.asked, "an answer with status " + std::to_string(told.status) + " isn't its own");
        }
        if (told.ending == Ending::Silent && told.calm) {
            fail("SILENT", request.asked, "no answer within the caller's time");
        }
        checkDenied(request);
        checkDocument(request);
        checkPair(request);
    }

    void ran(const Ran &ran)
    {
        const auto found = m_requests.find(ran.id);
        if (found == m_requests.end()) {
            m_violations.push_back({"UNASKED", ran.target + " ran " + ran.id + ", which nobody sent"});
            return;
        }
        Request &request = found->second;
        const Asked &asked = request.asked;
        ++request.runs;
        if (asked.method != ran.method || asked.path != ran.path || asked.team != ran.team) {
            fail("UNASKED", asked, "ran as " + ran.method + " " + ran.path + " of team '" + ran.team + "'");
        }
        if (!asked.mayRun) {
            fail("KEY", asked, "ran with a key that nobody holds");
        }
        if (!asked.idempotent && request.runs > 1) {
            fail("TWICE", asked, "ran " + std::to_string(request.runs) + " times");
        }
        const auto withdrawn = m_withdrawn.find(asked.key);
        if (withdrawn != m_withdrawn.end() && asked.sentAt > withdrawn->second + m_bounds.keyLifetime) {
            fail("KEY", asked, "ran " + std::to_string(asked.sentAt - withdrawn->second) + " ms after its key was withdrawn");
        }
        const auto left = m_left.find(ran.target);
        if (left != m_left.end() && asked.sentAt > left->second + m_bounds.drain) {
            request.afterDrain = ran.target;
        }
        if (!asked.team.empty()) {
            m_runsOfTeam[asked.team].push_back(asked.sentAt);
        }
        checkPair(request);
    }

    /// Checks what needs all facts.
    void finish()
    {
        for (auto &[team, times] : m_runsOfTeam) {
            checkQuota(team, times);
        }
    }

    std::vector<Violation> takeViolations() { return std::exchange(m_violations, {}); }
    std::size_t requests() const { return m_requests.size(); }

    /// Share of the requests sent since @p from that a target answered; refusals of quotas and keys aside.
    double servedSince(Time from) const
    {
        unsigned owed = 0;
        unsigned served = 0;
        for (const auto &[id, request] : m_requests) {
            const bool refusable
                = !request.asked.mayRun || m_quotas.contains(request.asked.team) || m_withdrawn.contains(request.asked.key) || request.asked.version != 0;
            if (request.asked.sentAt >= from && request.told && !refusable) {
                ++owed;
                served += request.told->status == 200 ? 1 : 0;
            }
        }
        return owed == 0 ? 0 : static_cast<double>(served) / owed;
    }

private:
    struct Request {
        Asked asked;
        std::optional<Told> told;
        unsigned runs = 0;
        std::string afterDrain; ///< target that was to get nothing any more
        bool promiseBroken = false;
        bool lost = false;
        bool drained = false;
    };

    static bool promises(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

    void fail(const std::string &rule, const Asked &asked, const std::string &what)
    {
        m_violations.push_back({rule, asked.id + " (" + asked.method + " " + asked.path + " at " + asked.daemon + "): " + what});
    }

    // Runs and answers are heard of in any order.
    void checkPair(Request &request)
    {
        if (!request.told || request.runs == 0) {
            return;
        }
        const Told &told = *request.told;
        if (!request.asked.idempotent && told.ending == Ending::Answered && promises(told.status) && !std::exchange(request.promiseBroken, true)) {
            fail("REFUSED", request.asked, "was told " + std::to_string(told.status) + " and ran");
        }
        if (told.ending == Ending::Cut && told.calm && !std::exchange(request.lost, true)) {
            fail("LOST", request.asked, "ran, and its connection ended without an answer");
        }
        if (!request.afterDrain.empty() && told.calm && !std::exchange(request.drained, true)) {
            fail("DRAIN", request.asked, "ran at " + request.afterDrain + ", which had left");
        }
    }

    // Keys that all versions hold and routes that all have are always good, also at daemons that are out of touch.
    void checkDenied(const Request &request)
    {
        const unsigned status = request.told->status;
        const auto given = m_given.find(request.asked.key);
        const bool held = given == m_given.end() || (request.told->calm && request.asked.sentAt > given->second + m_bounds.documentInForce);
        const bool good = request.asked.mayRun && request.asked.version == 0 && held && !m_withdrawn.contains(request.asked.key);
        if (good && (status == 401 || status == 403 || status == 404 || status == 400)) {
            fail("DENIED", request.asked, "was told " + std::to_string(status));
        }
    }

    // A route of version N is in the documents N to N + KeptVersions - 1.
    void checkDocument(const Request &request)
    {
        const Asked &asked = request.asked;
        const Told &told = *request.told;
        if (asked.version == 0 || told.ending != Ending::Answered) {
            return;
        }
        const auto [sign, first] = m_seen.try_emplace(asked.daemon, std::pair<unsigned, Time> {0, 0});
        auto &[seen, seenAt] = sign->second;
        if (told.status != 404) {
            if (told.status == 200 && asked.version > seen) {
                seen = asked.version;
                seenAt = told.endedAt;
            }
            return;
        }
        const bool stillThere = m_accepted.empty() || m_accepted.rbegin()->first < asked.version + KeptVersions;
        if (!stillThere) {
            return;
        }
        if (seen >= asked.version && asked.sentAt > seenAt + m_bounds.regress) {
            fail("BACKWARDS", asked, "no route of version " + std::to_string(asked.version) + " after one of " + std::to_string(seen));
        }
        const auto accepted = m_accepted.find(asked.version);
        if (told.calm && accepted != m_accepted.end() && asked.sentAt > accepted->second + m_bounds.documentInForce) {
            fail("CONFIG", asked,
                 "version " + std::to_string(asked.version) + " isn't in force after " + std::to_string(asked.sentAt - accepted->second) + " ms");
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
        const double most = (quota->second.rate * window + quota->second.burst) * (1 + m_bounds.quotaOver) + m_bounds.quotaSlack;
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
        if (static_cast<double>(worst) > most) {
            m_violations.push_back(
                {"QUOTA", team + ": " + std::to_string(worst) + " runs in the window from " + std::to_string(worstAt) + ", at most " + std::to_string(most)});
        }
    }

public:
    static constexpr unsigned KeptVersions = 3;

private:
    OracleBounds m_bounds;
    std::map<std::string, TeamQuota> m_quotas;
    std::map<std::string, Request> m_requests;
    std::map<unsigned, Time> m_accepted;
    std::map<std::string, Time> m_given; ///< keys that came with a later document
    std::map<std::string, Time> m_withdrawn;
    std::map<std::string, Time> m_left;
    std::map<std::string, std::pair<unsigned, Time>> m_seen; ///< newest version that a daemon's run showed, and when
    std::map<std::string, std::vector<Time>> m_runsOfTeam; ///< when these requests were sent
    std::vector<Violation> m_violations;
};
}
