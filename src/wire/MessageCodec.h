#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <jsoncpp/json/json.h>

#include <string>

// JSON for the message types. Field names on the wire are those of the structs. A reader refuses a missing field, a
// wrong type, an unknown name of an enumerator and a negative count with BadRequest, and names the field.
namespace oleanderport {

template <typename T>
Json::Value toJson(const T&);

template <typename T>
Result<T> fromJson(const Json::Value&);

// Compact JSON text.
std::string writeJson(const Json::Value&);

// Parses one JSON value. Fails with BadRequest on anything else, on trailing text and on deep nesting.
Result<Json::Value> parseJson(const std::string&);

Json::Value errorToJson(const Error&);

// Reads what errorToJson() wrote. Anything else becomes an Internal error with the given peer.
Error errorFromJson(const Json::Value&, const std::string& peer);

} // namespace oleanderport
