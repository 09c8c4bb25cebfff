#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace plumsill
{
/// Limits of the instance that a daemon runs on; an empty one is not known and not enforced.
struct InstanceLimits {
    std::optional<double> linkMegabits; ///< rate of the instance's link, Mbit/s
    std::optional<double> memoryMegabytes; ///< memory after which the process is ended, MB
    std::optional<double> processorCores; ///< processor time that the daemon may use, cores

    auto operator<=>(const InstanceLimits &) const = default;
};

/// Values that are accepted for one of the limits.
struct LimitRange {
    double min = 0;
    double max = 0;
};

inline constexpr LimitRange LinkMegabitsRange {0.1, 1e6};
inline constexpr LimitRange MemoryMegabytesRange {16, 16e6};
inline constexpr LimitRange ProcessorCoresRange {0.001, 1024};

/// @p value without trailing zeros.
std::string decimalText(double value);
/// Why @p value is not accepted; empty when it is.
std::string limitProblem(std::optional<double> value, const LimitRange &range);
/// Bytes of answers per second that one of @p threads traffic threads may send.
std::optional<double> linkBytesPerSecond(const InstanceLimits &limits, unsigned threads);
/// Bytes that one of @p threads traffic threads may hold for callers and targets.
std::optional<std::size_t> heldBytesBound(const InstanceLimits &limits, unsigned threads);
/// @p limits in one line for the log.
std::string toString(const InstanceLimits &limits);
}
