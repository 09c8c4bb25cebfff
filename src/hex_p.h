#pragma once

namespace plumsill
{
/// Value of a hexadecimal digit of either case; -1 for anything else.
inline int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}
}
