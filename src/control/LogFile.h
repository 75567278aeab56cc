#pragma once

#include "oleanderport/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// File format of a data folder: a sequence of frames, each with a sequence number and a checksum. The log holds one frame per
// synced batch.
namespace oleanderport {

// Encodes a frame. `sequence` is the position of the frame in its file, counted from zero.
std::string makeFrame(std::uint64_t sequence, std::string_view payload);

struct LogFrames {
    std::vector<std::string> payloads;
    // Bytes after the last complete frame, from a batch that a crash interrupted. That batch was never acknowledged.
    std::size_t tornBytes { 0 };
};

// Reads the frames of a file. The first `minFrames` frames were written before the file got its name, so none of them may be
// torn. Fails with Storage when a damaged frame is among them or is followed by an intact one: acknowledged content is lost,
// and an operator has to decide how to proceed. `name` identifies the file in error messages.
Result<LogFrames> readFrames(std::string_view bytes, std::size_t minFrames, const std::string& name);

// Reads a file. Fails with NotFound if it doesn't exist.
Result<std::string> readFile(const std::string& path);

// Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
Result<void> replaceFile(const std::string& folder, const std::string& name, std::string_view bytes);

// Syncs a folder, so that files created or renamed in it survive a crash.
Result<void> syncFolder(const std::string& folder);

Result<void> writeAll(int descriptor, std::string_view bytes, const std::string& name);
Result<void> syncFile(int descriptor, const std::string& name);

// A Storage error whose message is `problem` and the description of errno.
Error storageError(const std::string& name, const std::string& problem);

} // namespace oleanderport
