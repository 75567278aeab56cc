#pragma once

#include "oleanderport/Error.h"
#include "policy/RaftMessages.h"

#include <jsoncpp/json/json.h>

// Encodes the entries, snapshots and messages of the control group as JSON. Decoding fails with BadRequest on wrong types,
// numbers out of range and unknown kinds.
namespace oleanderport {

Json::Value entriesToJson(const std::vector<RaftEntry>&);
Result<std::vector<RaftEntry>> entriesFromJson(const Json::Value&);

Json::Value snapshotToJson(const RaftSnapshot&);
Result<RaftSnapshot> snapshotFromJson(const Json::Value&);

Json::Value raftMessageToJson(const RaftMessage&);
Result<RaftMessage> raftMessageFromJson(const Json::Value&);

} // namespace oleanderport
