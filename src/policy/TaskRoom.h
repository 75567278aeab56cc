#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>

// Arithmetic on task needs and minion capacity.
namespace oleanderport {

inline bool fitsInto(const TaskNeeds& room, const TaskNeeds& needs)
{
    return room.cpuMillis >= needs.cpuMillis && room.memoryMb >= needs.memoryMb && room.accelerators >= needs.accelerators;
}

// Adds `sign * needs` to `sum`. Run times are not changed.
inline void addNeeds(TaskNeeds& sum, const TaskNeeds& needs, std::int64_t sign)
{
    sum.cpuMillis += sign * needs.cpuMillis;
    sum.memoryMb += sign * needs.memoryMb;
    sum.accelerators += sign * needs.accelerators;
}

} // namespace oleanderport
