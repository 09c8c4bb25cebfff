#pragma once

#include <plumsill/priority_queues.h>

#include <map>

namespace plumsill
{
/// Decides how many tokens of a team above its rate a request leaves to requests of higher priorities of the same team. Each priority gets at
/// least config::MinPriorityShare of the tokens while it is refused some.
class TokenReserve
{
public:
    /// Records a request of the team.
    void recordArrival(unsigned priority, TimePoint now) { m_priorities[priority].arrivals.add(1, now); }
    /// Tokens to leave, of the part of the bucket that this scheduler may use.
    double reserved(unsigned priority, TimePoint now) const;
    /// Records whether the request got a token.
    void recordTaken(unsigned priority, bool taken, TimePoint now);

private:
    struct Priority {
        ArrivalRate arrivals;
        double owed = 0; ///< tokens that the priority has got too little by its minimum share
        TimePoint refusedAt;
    };

    std::map<unsigned, Priority> m_priorities;
};
}
