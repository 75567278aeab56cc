#include "entry/Submission.h"

namespace oleanderport {

std::optional<Error> checkDeadline(const Submission& submission)
{
    if (submission.spec.deadlineUnix > submission.unixNow)
        return std::nullopt;
    // An earlier submission of the same job may have run before the deadline.
    return Error { .code = ErrorCode::DeadlinePassed,
        .ran = Ran::Unknown,
        .step = "entry.deadline",
        .peer = {},
        .message = "the deadline has passed; an earlier submission of this job may have run" };
}

} // namespace oleanderport
