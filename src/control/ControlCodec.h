#pragma once

#include "policy/ControlState.h"

#include <string>

// Commands and state of control as versioned text, for the log and for snapshots. Identical content gives identical
// bytes. The readers fail with Storage on text of another version and on anything malformed.
namespace oleanderport {

std::string encodeCommand(const ControlCommand&);
Result<ControlCommand> decodeCommand(const std::string&);

// The state read back behaves identically for every later command.
std::string encodeState(const ControlState&);
Result<ControlState> decodeState(const std::string&, const ControlStateOptions&);

} // namespace oleanderport
