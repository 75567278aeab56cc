#pragma once

#include <cstddef>
#include <string_view>

// Measures what the head of an HTTP request costs once it is parsed. Made for clients that send many short header lines, each of which takes
// some hundred bytes as a parsed header, whatever its text takes.
namespace oleanderport {

// Some of the head of a request.
struct HeadPart {
    std::size_t bytes { 0 };
    // The request line, header lines and the empty line that ends the head.
    std::size_t lines { 0 };

    // Memory beyond the bytes themselves: a path is held in several forms, and each header is a list item with a copy of its name and value.
    std::size_t overheadBytes() const
    {
        constexpr std::size_t copies = 3;
        constexpr std::size_t bytesPerLine = 128;
        return bytes * copies + lines * bytesPerLine;
    }

    HeadPart& operator+=(const HeadPart& other)
    {
        bytes += other.bytes;
        lines += other.lines;
        return *this;
    }
};

// Finds the end of a request's head while its bytes arrive.
class RequestHead {
public:
    // Takes the next bytes of the request. Returns the part of them that belongs to the head.
    HeadPart received(std::string_view bytes);

    bool isComplete() const { return m_isComplete; }
    std::size_t bytes() const { return m_bytes; }

private:
    bool m_isComplete { false };
    std::size_t m_bytes { 0 };
    // Of the line that has not ended yet. A line that holds nothing but a carriage return is empty.
    std::size_t m_lineBytes { 0 };
    bool m_beginsWithReturn { false };
    bool m_hasRequestLine { false };
};

} // namespace oleanderport
