#pragma once

#include "oleanderport/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// The form of the files in a data folder: a sequence of frames, each numbered and covered by a checksum. One frame is
// one synced batch.
namespace oleanderport {

// Frame of the payload. `sequence` counts the frames of its file from zero.
std::string makeFrame(std::uint64_t sequence, std::string_view payload);

struct LogFrames {
    std::vector<std::string> payloads;
    // Bytes after the last whole frame: a batch that a crash cut short. It was never confirmed.
    std::size_t tornBytes { 0 };
};

// Reads the frames of a file. The first `whole` frames were written at once with the file, so none of them may be
// torn. Fails with Storage when a damaged frame is followed by a whole one or is among the first: content that was
// confirmed is gone, and only an operator may decide. `name` stands for the file in messages.
Result<LogFrames> readFrames(std::string_view bytes, std::size_t minFrames, const std::string& name);

// Reads a file; NotFound when there is none.
Result<std::string> readFile(const std::string& path);

// Replaces the file: written beside it, synced, renamed, folder synced.
Result<void> replaceFile(const std::string& folder, const std::string& name, std::string_view bytes);

// Syncs a folder, so that files made or renamed in it last.
Result<void> syncFolder(const std::string& folder);

Result<void> writeAll(int descriptor, std::string_view bytes, const std::string& name);
Result<void> syncFile(int descriptor, const std::string& name);

// Storage error with the text of errno.
Error storageError(const std::string& name, const std::string& problem);

} // namespace oleanderport
