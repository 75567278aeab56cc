#pragma once

#include "oleanderport/Clock.h"

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// Collects every fault of one TOML text, each with its place and key.
class TomlErrors {
public:
    explicit TomlErrors(std::string file);

    void add(const toml::node* node, std::string_view key, std::string_view message);
    bool empty() const { return m_lines.empty(); }
    // All errors, one a line.
    std::string text() const;

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

// Smallest and largest value that a number may have.
struct NumberRange {
    std::int64_t min { 0 };
    std::int64_t max { 0 };
};

// Reads the keys of one table and reports each key that nobody asked for. Absent keys keep their default.
class TomlSection {
public:
    TomlSection(const toml::table*, std::string name, TomlErrors&);

    void text(std::string_view key, std::string& value);
    void number(std::string_view key, std::int64_t& value, NumberRange);
    void time(std::string_view key, Milliseconds& value, NumberRange);
    void flag(std::string_view key, bool& value);
    void texts(std::string_view key, std::vector<std::string>& value);
    // Reports the key when it is absent.
    void require(std::string_view key);
    // Reports every key that was not read.
    void reportUnknownKeys();

    const toml::node* find(std::string_view key);
    void addError(std::string_view key, std::string_view message);

private:
    std::string path(std::string_view key) const;

    const toml::table* m_table;
    std::string m_name;
    TomlErrors& m_errors;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace oleanderport
