#pragma once

#include "control/Replicator.h"

#include <functional>
#include <optional>

namespace oleanderport {

// A callback that replies with the outcome of a proposed command. `Alternative` is the outcome type of that command.
template <typename Alternative, typename Response>
Replicator::Done forwardOutcome(std::function<void(Result<Response>)> reply, std::function<Response(const Alternative&)> makeResponse)
{
    return [reply = std::move(reply), makeResponse = std::move(makeResponse)](const Result<ControlOutcome>& outcome) {
        if (!outcome.has_value())
            return reply(outcome.assume_error());
        reply(makeResponse(std::get<Alternative>(outcome.assume_value())));
    };
}

// NotLeader unless the instance may answer from its state.
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
