#pragma once

#include "oleanderport/Error.h"
#include "wire/DispatchMessages.h"

#include <string>
#include <string_view>

namespace oleanderport {

// Encodes a frame with cereal's portable binary archive.
std::string encodeFrame(const EntryFrame&);
std::string encodeFrame(const SidecarFrame&);

// Fails with BadRequest when the bytes are not exactly one valid frame.
Result<EntryFrame> decodeEntryFrame(std::string_view);
Result<SidecarFrame> decodeSidecarFrame(std::string_view);

} // namespace oleanderport
