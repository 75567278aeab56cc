#pragma once

#include "oleanderport/Error.h"
#include "wire/DispatchMessages.h"

#include <string>
#include <string_view>

namespace oleanderport {

// Bytes of a frame, by cereal's portable binary archive.
std::string encodeFrame(const EntryFrame&);
std::string encodeFrame(const SidecarFrame&);

// Fails with BadRequest on anything that encodeFrame() did not write.
Result<EntryFrame> decodeEntryFrame(std::string_view);
Result<SidecarFrame> decodeSidecarFrame(std::string_view);

} // namespace oleanderport
