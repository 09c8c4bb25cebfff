#include <plumsill/memory_budget.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
bool MemoryBudget::takesLarge(std::size_t bytes) const
{
    return !m_bound || static_cast<double>(m_held + bytes) <= static_cast<double>(*m_bound) * (1 - config::SmallRequestsShare);
}

void MemoryBudget::add(std::size_t bytes)
{
    m_held += bytes;
    m_peak = std::max(m_peak, m_held);
}

void MemoryBudget::remove(std::size_t bytes)
{
    m_held -= std::min(bytes, m_held);
}

HeldBytes &HeldBytes::operator=(HeldBytes &&other) noexcept
{
    if (this != &other) {
        set(0);
        m_budget = std::exchange(other.m_budget, nullptr);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void HeldBytes::set(std::size_t bytes)
{
    if (m_budget != nullptr) {
        m_budget->remove(m_bytes);
        m_budget->add(bytes);
        m_bytes = bytes;
    }
}

bool HeldBytes::trySet(std::size_t bytes)
{
    if (m_budget != nullptr && bytes > m_bytes && !m_budget->takesLarge(bytes - m_bytes)) {
        return false;
    }
    set(bytes);
    return true;
}
}
