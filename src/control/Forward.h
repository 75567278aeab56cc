#pragma once

#include "control/Replicator.h"

#include <functional>
#include <optional>

namespace oleanderport {

// Passes the alternative that belongs to the proposed command on to the one who asked.
template <typename Alternative, typename Response>
Replicator::Done forwardOutcome(std::function<void(Result<Response>)> reply, std::function<Response(const Alternative&)> makeResponse)
{
    return [reply = std::move(reply), makeResponse = std::move(makeResponse)](const Result<ControlOutcome>& outcome) {
        if (!outcome.has_value())
            return reply(outcome.assume_error());
        reply(makeResponse(std::get<Alternative>(outcome.assume_value())));
    };
}

// Nothing when the instance may answer from its state; NotLeader otherwise.
inline std::optional<Error> refusalUnlessLeader(const Replicator& replicator)
{
    if (replicator.isLeader())
        return std::nullopt;
    return Error { .code = ErrorCode::NotLeader,
        .ran = Ran::No,
        .step = "control",
        .peer = replicator.leaderAddress(),
        .message = "this instance is not the leader" };
}

} // namespace oleanderport
