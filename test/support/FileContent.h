#pragma once

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace oleanderport {

// Reads a whole file; fails the test when it cannot be read.
inline std::string contentOf(const std::filesystem::path& path)
{
    std::ifstream file(path);
    cr_assert(file.good(), "%s cannot be read", path.c_str());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace oleanderport
