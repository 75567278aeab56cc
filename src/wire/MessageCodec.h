#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <jsoncpp/json/json.h>

#include <string>

// JSON for the message types; MessageCodec.cpp lists the field names. Reading fails with BadRequest, naming the field,
// on a missing field, a wrong type, an unknown enumerator name and a negative count.
namespace oleanderport {

template <typename T>
Json::Value toJson(const T&);

template <typename T>
Result<T> fromJson(const Json::Value&);

// Compact JSON text.
std::string writeJson(const Json::Value&);

// Parses one JSON value. Fails with BadRequest on invalid JSON, trailing text and deep nesting.
Result<Json::Value> parseJson(const std::string&);

Json::Value errorToJson(const Error&);

// Reads the output of errorToJson(). Anything else becomes an Internal error with the given peer.
Error errorFromJson(const Json::Value&, const std::string& peer);

} // namespace oleanderport
