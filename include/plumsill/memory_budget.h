#pragma once

#include <cstddef>
#include <optional>
#include <utility>

/// Bytes that the daemon holds for callers and targets.
namespace plumsill
{
/// Bounds the bytes that one traffic thread holds in request bodies, answers and stream buffers.
class MemoryBudget
{
public:
    /// @p bytes: bound; empty: not known, nothing is refused.
    explicit MemoryBudget(std::optional<std::size_t> bytes = std::nullopt)
        : m_bound(bytes)
    { }

    void setBound(std::optional<std::size_t> bytes) { m_bound = bytes; }
    std::size_t held() const { return m_held; }
    std::size_t peak() const { return m_peak; }
    /// Whether @p bytes more stay below the bound.
    bool fits(std::size_t bytes) const { return !m_bound || (bytes <= *m_bound && m_held <= *m_bound - bytes); }
    /// Whether a large request of @p bytes is taken: large requests leave config::SmallRequestsShare of the bound to small ones.
    bool takesLarge(std::size_t bytes) const;
    void add(std::size_t bytes);
    void remove(std::size_t bytes);

private:
    std::optional<std::size_t> m_bound;
    std::size_t m_held = 0;
    std::size_t m_peak = 0;
};

/// Share of a MemoryBudget that is given back at the end of its life.
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(MemoryBudget &budget)
        : m_budget(&budget)
    { }
    HeldBytes(HeldBytes &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    { }
    HeldBytes &operator=(HeldBytes &&other) noexcept;
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;
    ~HeldBytes() { set(0); }

    std::size_t bytes() const { return m_bytes; }
    /// Holds @p bytes from now on, also where they exceed the bound.
    void set(std::size_t bytes);
    /// Holds @p bytes for an answer if they fit beside what is reserved for small requests; changes nothing otherwise.
    bool trySet(std::size_t bytes);

private:
    MemoryBudget *m_budget = nullptr;
    std::size_t m_bytes = 0;
};
}
