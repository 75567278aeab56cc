#pragma once

#include "oleanderport/Error.h"
#include "policy/RaftMessages.h"

#include <jsoncpp/json/json.h>

// JSON of the control group's log and messages. Readers fail with BadRequest on anything that the writers do not make.
namespace oleanderport {

Json::Value entriesToJson(const std::vector<RaftEntry>&);
Result<std::vector<RaftEntry>> entriesFromJson(const Json::Value&);

Json::Value snapshotToJson(const RaftSnapshot&);
Result<RaftSnapshot> snapshotFromJson(const Json::Value&);

Json::Value raftMessageToJson(const RaftMessage&);
Result<RaftMessage> raftMessageFromJson(const Json::Value&);

} // namespace oleanderport
