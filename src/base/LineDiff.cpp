#include "base/LineDiff.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace oleanderport {

namespace {

    // Largest table of common subsequences, in cells. Beyond it, the whole differing middle is shown as replaced.
    constexpr std::size_t maxLcsCells = 4'000'000;

    using Lines = std::vector<std::string>;

    Lines split(const std::string& text)
    {
        Lines lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    std::string removed(const Lines& lines, std::size_t index) { return fmt::format("-{}: {}", index + 1, lines[index]); }

    std::string added(const Lines& lines, std::size_t index) { return fmt::format("+{}: {}", index + 1, lines[index]); }

    // Lengths of the longest common subsequences of the lines from position i of `before` and j of `after` on.
    class LcsTable {
    public:
        LcsTable(const Lines& before, const Lines& after, std::size_t start, std::size_t beforeEnd,
            std::size_t afterEnd)
            : m_start(start)
            , m_width(afterEnd - start + 1)
            , m_cells((beforeEnd - start + 1) * m_width)
        {
            for (std::size_t i = beforeEnd; i-- > start;) {
                for (std::size_t j = afterEnd; j-- > start;)
                    cell(i, j) = before[i] == after[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }

        std::uint32_t at(std::size_t i, std::size_t j) const
        {
            return m_cells[(i - m_start) * m_width + (j - m_start)];
        }

    private:
        std::uint32_t& cell(std::size_t i, std::size_t j) { return m_cells[(i - m_start) * m_width + (j - m_start)]; }

        std::size_t m_start;
        std::size_t m_width;
        std::vector<std::uint32_t> m_cells;
    };

} // namespace

std::vector<std::string> lineDiff(const std::string& beforeText, const std::string& afterText)
{
    const Lines before = split(beforeText);
    const Lines after = split(afterText);
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t start = 0;
    while (start < shorter && before[start] == after[start])
        ++start;
    std::size_t beforeEnd = before.size();
    std::size_t afterEnd = after.size();
    while (beforeEnd > start && afterEnd > start && before[beforeEnd - 1] == after[afterEnd - 1]) {
        --beforeEnd;
        --afterEnd;
    }
    std::vector<std::string> differences;
    std::size_t i = start;
    std::size_t j = start;
    if ((beforeEnd - start + 1) * (afterEnd - start + 1) <= maxLcsCells) {
        const LcsTable table(before, after, start, beforeEnd, afterEnd);
        while (i < beforeEnd && j < afterEnd) {
            if (before[i] == after[j]) {
                ++i;
                ++j;
            } else if (table.at(i + 1, j) >= table.at(i, j + 1)) {
                differences.push_back(removed(before, i++));
            } else {
                differences.push_back(added(after, j++));
            }
        }
    }
    while (i < beforeEnd)
        differences.push_back(removed(before, i++));
    while (j < afterEnd)
        differences.push_back(added(after, j++));
    return differences;
}

} // namespace oleanderport
