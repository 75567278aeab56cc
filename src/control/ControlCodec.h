#pragma once

#include "policy/ControlState.h"

#include <string>

// Encodes control commands and the control state as versioned JSON, for the log and for snapshots. Equal content is encoded
// to equal bytes. The decoders fail with Storage on text of another version and on malformed text.
namespace oleanderport {

std::string encodeCommand(const ControlCommand&);
Result<ControlCommand> decodeCommand(const std::string&);

// Encodes a command for the log. Fails with BadRequest (ran: no) when decodeCommand() could not read the text: every instance
// has to read what is committed.
Result<std::string> encodeForLog(const ControlCommand&);

// Whether a text that decodeCommand() refuses names a version or a kind of change that this program does not know. A newer
// program wrote it and applies it. Any other refused text is applied by no program of this version.
bool isFromNewerProgram(const std::string& text);

// The decoded state gives the same results as the original for all later commands.
std::string encodeState(const ControlState&);
Result<ControlState> decodeState(const std::string&, const ControlStateOptions&);

} // namespace oleanderport
