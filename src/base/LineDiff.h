#pragma once

#include <string>
#include <vector>

namespace oleanderport {

// The lines in which two texts differ: those of `before` that are gone with "-", those of `after` that are new with
// "+", each with its line number ("-12: text"), in order. Empty when the texts are the same.
std::vector<std::string> lineDiff(const std::string& before, const std::string& after);

} // namespace oleanderport
