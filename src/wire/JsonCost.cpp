#include "wire/JsonCost.h"

namespace oleanderport {

bool hasMoreJsonValues(std::string_view text, std::size_t limit)
{
    // Each value but the outermost follows one of these.
    constexpr std::string_view valueStarts = "[,:";
    std::size_t values = 1;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size() && values <= limit; ++i) {
        const char each = text[i];
        if (isInString && each == '\\')
            ++i;
        else if (each == '"')
            isInString = !isInString;
        else if (!isInString && valueStarts.find(each) != std::string_view::npos)
            ++values;
    }
    return values > limit;
}

} // namespace oleanderport
