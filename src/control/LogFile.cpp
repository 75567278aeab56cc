#include "control/LogFile.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace oleanderport {

namespace {

    constexpr std::string_view magic = "OPLF";
    constexpr mode_t fileMode = 0644;

    struct FrameHeader {
        std::uint64_t sequence { 0 };
        std::uint64_t checksum { 0 };
        std::uint32_t length { 0 };
    };

    constexpr std::size_t headerBytes = magic.size() + sizeof(std::uint64_t) * 2 + sizeof(std::uint32_t);

    std::uint64_t checksumOf(std::uint64_t sequence, std::string_view payload)
    {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), sequence);
    }

    template <typename T>
    T readNumber(std::string_view bytes, std::size_t& offset)
    {
        T value {};
        std::memcpy(&value, bytes.data() + offset, sizeof value);
        offset += sizeof value;
        return value;
    }

    template <typename T>
    void appendNumber(std::string& bytes, T value)
    {
        bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
    }

    struct Frame {
        std::uint64_t sequence { 0 };
        std::string_view payload;
    };

    // The frame at the offset, if it is complete and its checksum matches.
    std::optional<Frame> frameAt(std::string_view bytes, std::size_t offset)
    {
        if (bytes.size() - offset < headerBytes || bytes.substr(offset, magic.size()) != magic)
            return std::nullopt;
        std::size_t position = offset + magic.size();
        FrameHeader header;
        header.sequence = readNumber<std::uint64_t>(bytes, position);
        header.checksum = readNumber<std::uint64_t>(bytes, position);
        header.length = readNumber<std::uint32_t>(bytes, position);
        if (bytes.size() - position < header.length)
            return std::nullopt;
        const std::string_view payload = bytes.substr(position, header.length);
        if (checksumOf(header.sequence, payload) != header.checksum)
            return std::nullopt;
        return Frame { .sequence = header.sequence, .payload = payload };
    }

    bool hasFrameAfter(std::string_view bytes, std::size_t offset)
    {
        for (auto found = bytes.find(magic, offset + 1); found != std::string_view::npos;
             found = bytes.find(magic, found + 1)) {
            if (frameAt(bytes, found))
                return true;
        }
        return false;
    }

    Error corruptionError(const std::string& name, std::size_t offset)
    {
        return Error { .code = ErrorCode::Storage,
            .ran = Ran::No,
            .step = "control.log",
            .peer = name,
            .message = fmt::format("acknowledged content is damaged at byte {}. Move the data folder away and start with "
                                   "an empty one: the instance then joins as a new member and receives the state from "
                                   "the others",
                offset) };
    }

} // namespace

std::string makeFrame(std::uint64_t sequence, std::string_view payload)
{
    std::string frame(magic);
    appendNumber(frame, sequence);
    appendNumber(frame, checksumOf(sequence, payload));
    appendNumber(frame, static_cast<std::uint32_t>(payload.size()));
    frame.append(payload);
    return frame;
}

Result<LogFrames> readFrames(std::string_view bytes, std::size_t minFrames, const std::string& name)
{
    LogFrames frames;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto frame = frameAt(bytes, offset);
        if (!frame) {
            if (hasFrameAfter(bytes, offset))
                return corruptionError(name, offset);
            break;
        }
        if (frame->sequence != frames.payloads.size())
            return corruptionError(name, offset);
        frames.payloads.emplace_back(frame->payload);
        offset += headerBytes + frame->payload.size();
    }
    if (frames.payloads.size() < minFrames)
        return corruptionError(name, offset);
    frames.tornBytes = bytes.size() - offset;
    return frames;
}

Error storageError(const std::string& name, const std::string& problem)
{
    return Error { .code = ErrorCode::Storage,
        .ran = Ran::Unknown,
        .step = "control.log",
        .peer = name,
        .message = problem + ": " + std::generic_category().message(errno) };
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file && errno == ENOENT) {
        return Error {
            .code = ErrorCode::NotFound, .ran = Ran::No, .step = "control.log", .peer = path, .message = "file does not exist"
        };
    }
    std::ostringstream bytes;
    bytes << file.rdbuf();
    if (!file)
        return storageError(path, "cannot be read");
    return bytes.str();
}

Result<void> writeAll(int descriptor, std::string_view bytes, const std::string& name)
{
    while (!bytes.empty()) {
        const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return storageError(name, "cannot be written");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return boost::outcome_v2::success();
}

Result<void> syncFile(int descriptor, const std::string& name)
{
    if (::fdatasync(descriptor) != 0)
        return storageError(name, "cannot be synced");
    return boost::outcome_v2::success();
}

Result<void> syncFolder(const std::string& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return storageError(folder, "cannot be opened");
    const bool synced = ::fsync(descriptor) == 0;
    const Error error = synced ? Error {} : storageError(folder, "cannot be synced");
    ::close(descriptor);
    if (!synced)
        return error;
    return boost::outcome_v2::success();
}

Result<void> replaceFile(const std::string& folder, const std::string& name, std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".new";
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return storageError(temporary, "cannot be created");
    auto written = writeAll(descriptor, bytes, temporary);
    if (written.has_value())
        written = syncFile(descriptor, temporary);
    ::close(descriptor);
    BOOST_OUTCOME_TRYV(std::move(written));
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return storageError(path, "cannot be replaced");
    return syncFolder(folder);
}

} // namespace oleanderport
