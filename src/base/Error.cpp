#include "oleanderport/Error.h"

#include "oleanderport/NameTable.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    constexpr NameTable<ErrorCode, 23> errorCodeNames { {
        { ErrorCode::BadRequest, "bad_request" },
        { ErrorCode::BodyTooLarge, "body_too_large" },
        { ErrorCode::UnknownService, "unknown_service" },
        { ErrorCode::UnknownTeam, "unknown_team" },
        { ErrorCode::NeverFits, "never_fits" },
        { ErrorCode::Conflict, "conflict" },
        { ErrorCode::Overloaded, "overloaded" },
        { ErrorCode::DeadlinePassed, "deadline_passed" },
        { ErrorCode::AnswerGone, "answer_gone" },
        { ErrorCode::Cancelled, "cancelled" },
        { ErrorCode::Unavailable, "unavailable" },
        { ErrorCode::NotLeader, "not_leader" },
        { ErrorCode::StaleEpoch, "stale_epoch" },
        { ErrorCode::StaleIncarnation, "stale_incarnation" },
        { ErrorCode::ShuttingDown, "shutting_down" },
        { ErrorCode::NotFound, "not_found" },
        { ErrorCode::Timeout, "timeout" },
        { ErrorCode::MinionFailed, "minion_failed" },
        { ErrorCode::MinionRefused, "minion_refused" },
        { ErrorCode::SidecarLost, "sidecar_lost" },
        { ErrorCode::BadSettings, "bad_settings" },
        { ErrorCode::Storage, "storage" },
        { ErrorCode::Internal, "internal" },
    } };

    constexpr NameTable<Ran, 2> ranNames { {
        { Ran::No, "no" },
        { Ran::Unknown, "unknown" },
    } };

} // namespace

std::string_view errorCodeName(ErrorCode code) { return nameIn(errorCodeNames, code); }

std::optional<ErrorCode> errorCodeFromName(std::string_view name) { return valueIn(errorCodeNames, name); }

std::string_view ranName(Ran ran) { return nameIn(ranNames, ran); }

std::optional<Ran> ranFromName(std::string_view name) { return valueIn(ranNames, name); }

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
    case ErrorCode::BadSettings:
        return 400;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownTeam:
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::NeverFits:
        return 422;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::AnswerGone:
        return 410;
    case ErrorCode::Overloaded:
        return 429;
    case ErrorCode::DeadlinePassed:
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
    case ErrorCode::MinionRefused:
    case ErrorCode::ShuttingDown:
        return 503;
    default:
        return 500;
    }
}

std::string describe(const Error& error)
{
    return fmt::format("{} at {}{}{}: {} (ran: {})", errorCodeName(error.code), error.step,
        error.peer.empty() ? "" : " from ", error.peer, error.message, ranName(error.ran));
}

bool isUndecided(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::NotLeader || code == ErrorCode::Timeout;
}

} // namespace oleanderport
