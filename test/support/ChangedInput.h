#pragma once

#include <jsoncpp/json/json.h>

#include <cstdlib>
#include <random>
#include <string>

namespace oleanderport {

// Number of inputs that a decoder test tries; the environment variable FUZZ_INPUTS overrides the given default.
inline std::uint64_t changedInputs(std::uint64_t defaultCount)
{
    const char* const wanted = std::getenv("FUZZ_INPUTS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : defaultCount;
}

// A value of a random type and size, as a foreign or faulty sender may put in any place of a message.
inline Json::Value unexpectedValue(std::mt19937_64& random)
{
    switch (random() % 12) {
    case 0:
        return {};
    case 1:
        return Json::Value(Json::objectValue);
    case 2:
        return Json::Value(Json::arrayValue);
    case 3:
        return static_cast<Json::UInt64>(UINT64_MAX);
    case 4:
        return static_cast<Json::Int64>(INT64_MIN);
    case 5:
        return 1e300;
    case 6:
        return -1;
    case 7:
        return random() % 2 == 0;
    case 8:
        return "";
    case 9:
        return std::string(1 + random() % 300, '\xff');
    case 10: {
        Json::Value deep;
        for (int i = 0; i < 60; ++i) {
            Json::Value outer(Json::arrayValue);
            outer.append(deep);
            deep = outer;
        }
        return deep;
    }
    default:
        return static_cast<Json::Int64>(random() % 1'000);
    }
}

// Replaces or removes each value with a probability of 1 in `oneIn`. The replacement is an unexpected value or one from
// elsewhere in the message.
inline void changeValue(std::mt19937_64& random, Json::Value& value, const Json::Value& whole, std::uint64_t oneIn)
{
    if (random() % oneIn == 0) {
        if (random() % 4 == 0 && whole.isObject() && !whole.empty()) {
            const auto names = whole.getMemberNames();
            value = Json::Value(whole[names[random() % names.size()]]);
        } else {
            value = unexpectedValue(random);
        }
        return;
    }
    if (value.isObject()) {
        for (const auto& name : value.getMemberNames()) {
            if (random() % oneIn == 0)
                value.removeMember(name);
            else
                changeValue(random, value[name], whole, oneIn);
        }
    } else if (value.isArray()) {
        for (auto& item : value)
            changeValue(random, item, whole, oneIn);
    }
}

inline Json::Value changedJson(std::mt19937_64& random, const Json::Value& whole)
{
    Json::Value changed = whole;
    changeValue(random, changed, whole, 4 + random() % 60);
    return changed;
}

// The text after one to four random changes: a byte replaced, bytes removed, duplicated or inserted, or the end cut off.
inline std::string changedText(std::mt19937_64& random, std::string text)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 20);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), 1 + random() % 40));
            break;
        case 3:
            text.insert(at, std::string(1 + random() % 20, "{}[]\",:0=#\n"[random() % 11]));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

} // namespace oleanderport
