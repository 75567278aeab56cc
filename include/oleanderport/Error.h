#pragma once

#include "oleanderport/Clock.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace oleanderport {

// Kinds of errors. Their names in errorCodeName() are stable and part of the interface.
enum class ErrorCode {
    BadRequest,
    BodyTooLarge,
    UnknownService,
    UnknownTeam,
    NeverFits,
    Conflict,
    Overloaded,
    DeadlinePassed,
    AnswerGone,
    Cancelled,
    Unavailable,
    NotLeader,
    StaleEpoch,
    StaleIncarnation,
    ShuttingDown,
    NotFound,
    Timeout,
    MinionFailed,
    MinionRefused,
    SidecarLost,
    BadSettings,
    Storage,
    Internal,
};

// Whether any task of a refused or failed request may have started. No is used only when it is certain.
enum class Ran {
    No,
    Unknown,
};

// An error together with where it arose.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    Ran ran { Ran::Unknown };
    // The step that failed, such as "entry.admission".
    std::string step;
    // Name or address of the process in which it arose; empty for this process.
    std::string peer;
    std::string message;
    // Delay before the caller may retry; zero when a retry can't help.
    Milliseconds retryAfter {};
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Stable lower-case name of a code, such as "unknown_service".
std::string_view errorCodeName(ErrorCode);
std::optional<ErrorCode> errorCodeFromName(std::string_view);

std::string_view ranName(Ran);
std::optional<Ran> ranFromName(std::string_view);

// HTTP status with which an entry answers a caller.
int httpStatus(ErrorCode);

// Whether a call failed before the deciding instance answered it (Unavailable, NotLeader, Timeout). It may be retried at
// another instance, or at the same one a little later.
bool isUndecided(ErrorCode);

// One line for logs and terminals: code, step, peer and message.
std::string describe(const Error&);

} // namespace oleanderport
