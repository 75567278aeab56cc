#include "base/TomlReader.h"

#include <fmt/format.h>

#include <cmath>

namespace oleanderport {

TomlErrors::TomlErrors(std::string file)
    : m_file(std::move(file))
{
}

void TomlErrors::add(const toml::node* node, std::string_view key, std::string_view message)
{
    const auto line = node ? node->source().begin.line : 0;
    if (line > 0)
        m_lines.push_back(fmt::format("{}:{}: {}: {}", m_file, line, key, message));
    else
        m_lines.push_back(fmt::format("{}: {}: {}", m_file, key, message));
}

std::string TomlErrors::text() const { return fmt::format("{}", fmt::join(m_lines, "\n")); }

TomlSection::TomlSection(const toml::table* table, std::string name, TomlErrors& errors)
    : m_table(table)
    , m_name(std::move(name))
    , m_errors(errors)
{
}

std::string TomlSection::path(std::string_view key) const
{
    return m_name.empty() ? std::string(key) : fmt::format("{}.{}", m_name, key);
}

const toml::node* TomlSection::find(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table ? m_table->get(key) : nullptr;
}

void TomlSection::addError(std::string_view key, std::string_view message)
{
    const toml::node* node = m_table ? m_table->get(key) : nullptr;
    m_errors.add(node ? node : m_table, path(key), message);
}

void TomlSection::text(std::string_view key, std::string& value)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    if (!node->is_string())
        return addError(key, "expected a string");
    value = node->as_string()->get();
}

void TomlSection::flag(std::string_view key, bool& value)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    if (!node->is_boolean())
        return addError(key, "expected true or false");
    value = node->as_boolean()->get();
}

void TomlSection::number(std::string_view key, std::int64_t& value, NumberRange range)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    const auto* number = node->as_integer();
    if (!number || number->get() < range.min || number->get() > range.max)
        return addError(key, fmt::format("expected a whole number from {} to {}", range.min, range.max));
    value = number->get();
}

void TomlSection::time(std::string_view key, Milliseconds& value, NumberRange range)
{
    number(key, value.count, range);
}

void TomlSection::seconds(std::string_view key, Milliseconds& value, NumberRange range)
{
    constexpr double millisPerSecond = 1'000;
    const toml::node* node = find(key);
    if (!node)
        return;
    const auto number = node->value<double>();
    const double millis = number.value_or(-1) * millisPerSecond;
    if (!node->is_number() || !(millis >= static_cast<double>(range.min) && millis <= static_cast<double>(range.max)))
        return addError(key, fmt::format("expected a number of seconds from {} to {}", static_cast<double>(range.min) / millisPerSecond, static_cast<double>(range.max) / millisPerSecond));
    value = { static_cast<std::int64_t>(std::llround(millis)) };
}

void TomlSection::texts(std::string_view key, std::vector<std::string>& value)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    const auto* list = node->as_array();
    if (!list)
        return addError(key, "expected a list of strings");
    value.clear();
    for (const auto& item : *list) {
        if (!item.is_string())
            return addError(key, "expected a list of strings");
        value.push_back(item.as_string()->get());
    }
}

void TomlSection::require(std::string_view key)
{
    if (!m_table || !m_table->contains(key))
        addError(key, "missing, but required");
}

void TomlSection::reportUnknownKeys()
{
    if (!m_table)
        return;
    for (const auto& [key, node] : *m_table) {
        if (!m_readKeys.contains(key.str()))
            m_errors.add(&node, path(key.str()), "unknown key");
    }
}

} // namespace oleanderport
