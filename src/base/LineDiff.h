#pragma once

#include <string>
#include <vector>

namespace oleanderport {

// Returns the lines in which two texts differ, in order: removed lines of `before` with "-", added lines of `after`
// with "+", each with its line number ("-12: text"). Empty when the texts are equal.
std::vector<std::string> lineDiff(const std::string& before, const std::string& after);

} // namespace oleanderport
