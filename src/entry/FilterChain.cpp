#include "entry/Submission.h"

#include <array>

namespace oleanderport {

namespace {

    constexpr std::array<SubmissionFilter, 1> staticFilters { &checkShape };
    constexpr std::array<SubmissionFilter, 4> dynamicFilters { &checkDeadline, &checkNames, &checkFit, &checkAdmission };

    template <std::size_t size>
    std::optional<Error> run(const std::array<SubmissionFilter, size>& filters, const Submission& submission)
    {
        for (const auto filter : filters) {
            if (auto refusal = filter(submission))
                return refusal;
        }
        return std::nullopt;
    }

} // namespace

std::optional<Error> runStaticFilters(const Submission& submission) { return run(staticFilters, submission); }

std::optional<Error> runDynamicFilters(const Submission& submission) { return run(dynamicFilters, submission); }

} // namespace oleanderport
