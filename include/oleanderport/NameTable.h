#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace oleanderport {

// Maps an enumerator to its name on the wire and in logs.
template <typename Enum>
struct NamedValue {
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t size>
using NameTable = std::array<NamedValue<Enum>, size>;

// Name of the enumerator, or "unknown" when the table has no row for it.
template <typename Enum, std::size_t size>
constexpr std::string_view nameIn(const NameTable<Enum, size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

// Enumerator with this name; nothing when the table has none.
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueIn(const NameTable<Enum, size>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace oleanderport
