#pragma once

#include "policy/ControlState.h"

#include <string>

// Encodes control commands and the control state as versioned JSON, for the log and for snapshots. Equal content is encoded
// to equal bytes. The decoders fail with Storage on text of another version and on malformed text.
namespace oleanderport {

std::string encodeCommand(const ControlCommand&);
Result<ControlCommand> decodeCommand(const std::string&);

// The decoded state gives the same results as the original for all later commands.
std::string encodeState(const ControlState&);
Result<ControlState> decodeState(const std::string&, const ControlStateOptions&);

} // namespace oleanderport
