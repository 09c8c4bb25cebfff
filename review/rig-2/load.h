#pragma once

#include "fleet.h"

namespace review
{
inline constexpr std::int64_t QuotaWindowMilliseconds = 5000; // quota-window-s
inline constexpr double QuotaOver = 0.1; // quota-over
inline constexpr double QuotaSlack = 20; // quota-slack

/// Clients of one tenant that send one request after the other, each on a new connection, until a time.
class Load
{
public:
    struct Plan {
        std::vector<std::string> daemons; ///< the clients are dealt to them in turn
        unsigned clients = 1;
        std::chrono::milliseconds pause {}; ///< between two requests of a client
        std::string key;
        std::int64_t until = 0; ///< Unix time in milliseconds
    };

    Load(Fleet &fleet, const Plan &plan)
    {
        for (unsigned client = 0; client < plan.clients; ++client) {
            m_clients.emplace_back([this, &fleet, plan, client] { send(fleet, plan, client); });
        }
    }
    /// Waits for the end of all clients; returns what they sent in the order of its times.
    std::vector<Sent> finish()
    {
        for (auto &client : m_clients) {
            client.join();
        }
        std::sort(m_sent.begin(), m_sent.end(), [](const Sent &a, const Sent &b) { return a.at < b.at; });
        return m_sent;
    }

private:
    void send(Fleet &fleet, const Plan &plan, unsigned client)
    {
        for (unsigned number = 0; unixMilliseconds() < plan.until; ++number) {
            const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
            const Sent request = fleet.request(plan.daemons.at(client % plan.daemons.size()), "POST", "/place/1", id, plan.key);
            {
                const std::lock_guard lock(m_mutex);
                m_sent.push_back(request);
            }
            std::this_thread::sleep_for(plan.pause);
        }
    }

    std::mutex m_mutex;
    std::vector<Sent> m_sent;
    std::vector<std::thread> m_clients;
};

struct Quota {
    double rate = 0; ///< requests a second
    double burst = 0;

    /// Requests that may run within a window.
    double limit() const { return (rate * static_cast<double>(QuotaWindowMilliseconds) / 1000 + burst) * (1 + QuotaOver) + QuotaSlack; }
};

/// Requests that were both sent and run within a window, in the window in which they are most.
inline std::size_t mostInWindow(const std::vector<Sent> &sent, const std::vector<Run> &runs)
{
    std::map<std::string, std::int64_t> ranAt;
    for (const auto &run : runs) {
        ranAt.emplace(run.id, run.at);
    }
    std::size_t most = 0;
    for (const auto &first : sent) {
        const auto inWindow = [&](const Sent &request) {
            const auto run = ranAt.find(request.id);
            return run != ranAt.end() && request.at >= first.at && run->second < first.at + QuotaWindowMilliseconds;
        };
        most = std::max(most, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), inWindow)));
    }
    return most;
}

/// Records all requests and compares the tenant's runs with its quota.
inline int judgeQuota(Record &record, const Quota &quota, const std::vector<Sent> &sent, const std::vector<Run> &runs)
{
    for (const auto &request : sent) {
        record.add(request);
    }
    for (const auto &ran : runs) {
        record.add(ran);
    }
    const std::size_t most = mostInWindow(sent, runs);
    record.line(std::to_string(sent.size()) + " sent, " + std::to_string(runs.size()) + " run, " + std::to_string(most) + " of them within 5 s; limit "
                + std::to_string(quota.limit()));
    if (runs.empty()) {
        return NotRun;
    }
    return static_cast<double>(most) > quota.limit() ? Broken : Held;
}
}
