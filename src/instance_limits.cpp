#include <plumsill/instance_limits.h>

#include <plumsill/config.h>

#include <array>
#include <charconv>
#include <cmath>

namespace plumsill
{
namespace
{
constexpr double BytesPerMegabit = 1e6 / 8;
constexpr double BytesPerMegabyte = 1e6;

std::string textOf(const std::optional<double> &value, const char *unit)
{
    return value ? decimalText(*value) + " " + unit : std::string("not known");
}
}

std::string decimalText(double value)
{
    std::array<char, 32> buffer {};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : std::string();
}

std::string limitProblem(std::optional<double> value, const LimitRange &range)
{
    if (!value) {
        return "missing or not a number; no limit is assumed";
    }
    if (std::isfinite(*value) && *value >= range.min && *value <= range.max) {
        return {};
    }
    return decimalText(*value) + " is not from " + decimalText(range.min) + " to " + decimalText(range.max) + "; no limit is assumed";
}

std::optional<double> linkBytesPerSecond(const InstanceLimits &limits, unsigned threads)
{
    if (!limits.linkMegabits) {
        return std::nullopt;
    }
    return *limits.linkMegabits * BytesPerMegabit * config::LinkPayloadShare / threads;
}

std::optional<std::size_t> heldBytesBound(const InstanceLimits &limits, unsigned threads)
{
    if (!limits.memoryMegabytes) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(*limits.memoryMegabytes * BytesPerMegabyte * config::HeldBytesShare / threads);
}

std::string toString(const InstanceLimits &limits)
{
    return "link " + textOf(limits.linkMegabits, "Mbit/s") + ", memory " + textOf(limits.memoryMegabytes, "MB") + ", processor "
        + textOf(limits.processorCores, "cores");
}
}
