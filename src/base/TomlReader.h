#pragma once

#include "oleanderport/Clock.h"

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

// Collects the errors of a TOML document, each with its line and key.
class TomlErrors {
public:
    explicit TomlErrors(std::string file);

    void add(const toml::node* node, std::string_view key, std::string_view message);
    bool empty() const { return m_lines.empty(); }
    // Returns all errors, one per line.
    std::string text() const;

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

// Allowed range of a number, both ends inclusive.
struct NumberRange {
    std::int64_t min { 0 };
    std::int64_t max { 0 };
};

// Reads the keys of a table and reports errors and unknown keys. The value of an absent key stays unchanged.
class TomlSection {
public:
    TomlSection(const toml::table*, std::string name, TomlErrors&);

    void text(std::string_view key, std::string& value);
    void number(std::string_view key, std::int64_t& value, NumberRange);
    void time(std::string_view key, Milliseconds& value, NumberRange);
    // Reads a time in seconds, which may have a fraction. The range is in milliseconds.
    void seconds(std::string_view key, Milliseconds& value, NumberRange);
    void flag(std::string_view key, bool& value);
    void texts(std::string_view key, std::vector<std::string>& value);
    // Reports an error when the key is absent.
    void require(std::string_view key);
    // Reports every key of the table that was not read.
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
