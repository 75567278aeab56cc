#pragma once

#include "oleanderport/Clock.h"

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// Collects every fault of one TOML text, each with its place and key.
class TomlFaults {
public:
    explicit TomlFaults(std::string file);

    void add(const toml::node* where, std::string_view key, std::string_view expected);
    bool empty() const { return m_lines.empty(); }
    // All faults, one a line.
    std::string text() const;

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

// Smallest and largest value that a number may have.
struct NumberRange {
    std::int64_t least { 0 };
    std::int64_t most { 0 };
};

// Reads the keys of one table and reports each key that nobody asked for. Absent keys keep their default.
class TomlSection {
public:
    TomlSection(const toml::table*, std::string name, TomlFaults&);

    void text(std::string_view key, std::string& value);
    void number(std::string_view key, std::int64_t& value, NumberRange);
    void time(std::string_view key, Milliseconds& value, NumberRange);
    void flag(std::string_view key, bool& value);
    void texts(std::string_view key, std::vector<std::string>& value);
    // Reports the key when it is absent.
    void require(std::string_view key);
    // Reports every key that was not read.
    void finish();

    const toml::node* find(std::string_view key);
    void fault(std::string_view key, std::string_view expected);

private:
    std::string path(std::string_view key) const;

    const toml::table* m_table;
    std::string m_name;
    TomlFaults& m_faults;
    std::set<std::string, std::less<>> m_read;
};

} // namespace oleanderport
