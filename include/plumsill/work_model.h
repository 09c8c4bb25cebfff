#pragma once

#include <plumsill/failure_estimate.h>

#include <cstdint>
#include <map>

namespace plumsill
{
/// Expected work of the requests of one service by route, learned from the time that their answers take.
class WorkModel
{
public:
    /// Records the latency of a good answer.
    void add(std::uint32_t route, Duration latency);
    /// Work of a request relative to a typical one of the service; 1 while nothing is known of the route.
    double work(std::uint32_t route) const;
    /// Mean time that a request of the service holds a slot; zero while unknown.
    Duration mean() const;

private:
    struct Mean {
        double value = 0; ///< seconds
        double count = 0;
        void add(double sample);
    };

    std::map<std::uint32_t, Mean> m_routes;
    Mean m_all;
};
}
