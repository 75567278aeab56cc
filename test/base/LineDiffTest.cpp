#include "base/LineDiff.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

void expectDiff(const std::string& before, const std::string& after, const std::string& expected)
{
    const auto actual = fmt::format("{}", fmt::join(lineDiff(before, after), "|"));
    cr_assert(actual == expected, "expected '%s', got '%s'", expected.c_str(), actual.c_str());
}

} // namespace

Test(LineDiff, findsNothingBetweenEqualTexts) { expectDiff("a\nb\n", "a\nb\n", ""); }

Test(LineDiff, listsRemovedAndAddedLines) { expectDiff("a\nb\nc\n", "a\nx\nc\nd\n", "-2: b|+2: x|+4: d"); }

Test(LineDiff, keepsCommonLinesAroundAnInsertion) { expectDiff("a\nb\nc\n", "a\nnew\nb\nc\n", "+2: new"); }

Test(LineDiff, comparesWithAnEmptyText) { expectDiff("", "a\n", "+1: a"); }

Test(LineDiff, showsLargeTextsWithoutCommonLinesAsReplaced)
{
    std::string before;
    std::string after;
    for (int i = 0; i < 3'000; ++i) {
        before += fmt::format("before {}\n", i);
        after += fmt::format("after {}\n", i);
    }
    const auto lines = lineDiff(before, after);
    cr_assert(lines.size() == 6'000, "expected 6000 lines, got %zu", lines.size());
}
