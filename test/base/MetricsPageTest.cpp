#include "support/FileContent.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <regex>
#include <set>

using namespace oleanderport;

namespace {

std::set<std::string> namesIn(const std::string& text, const std::regex& pattern)
{
    std::set<std::string> names;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
        names.insert((*match)[1]);
    return names;
}

// Returns the names of the series in the source files. A name that is a format string stands for all names it can make.
std::set<std::string> seriesOfProgram()
{
    std::set<std::string> names;
    const std::filesystem::path root(SOURCE_FOLDER);
    for (const char* folder : { "src", "platform" }) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (entry.path().extension() != ".cpp")
                continue;
            const auto found = namesIn(contentOf(entry.path()),
                std::regex(R"re(metrics\.(?:add|set|observe)\(\s*(?:fmt::format\()?"([a-z_{}]+)")re"));
            names.insert(found.begin(), found.end());
        }
    }
    return names;
}

bool isNamed(const std::set<std::string>& patterns, const std::string& name)
{
    for (std::string pattern : patterns) {
        const auto placeholder = pattern.find("{}");
        if (placeholder != std::string::npos)
            pattern.replace(placeholder, 2, "[a-z_]+");
        if (std::regex_match(name, std::regex(pattern)))
            return true;
    }
    return false;
}

} // namespace

Test(MetricsPage, describesEverySeriesAndNoOther)
{
    const auto described = namesIn(contentOf(std::string(SOURCE_FOLDER) + "/docs/METRICS.md"), std::regex("`([a-z]+_[a-z_]+)`"));
    const auto named = seriesOfProgram();
    cr_assert(!named.empty());
    for (const auto& name : described)
        cr_assert(isNamed(named, name), "docs/METRICS.md describes %s, which the program does not have", name.c_str());
    for (const auto& name : named) {
        const bool isPattern = name.find("{}") != std::string::npos;
        cr_assert(isPattern || described.contains(name), "docs/METRICS.md does not describe %s", name.c_str());
    }
}
