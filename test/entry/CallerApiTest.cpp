#include "entry/CallerApi.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

std::string refusalOf(const std::string& body)
{
    const auto job = parseJob(body);
    if (job.has_value())
        return "";
    cr_assert(job.assume_error().code == ErrorCode::BadRequest);
    cr_assert(job.assume_error().ran == Ran::No);
    return job.assume_error().message;
}

} // namespace

Test(CallerApi, readsAJob)
{
    const auto job = parseJob(R"({"caller":"c","job":"j","team":"t","service":"s","deadlineUnixMs":5,
        "tasks":[{"payload":"p","needs":{"memoryMb":7}}]})");
    cr_assert(job.has_value());
    cr_assert(job.assume_value().tasks.size() == 1);
    cr_assert(job.assume_value().tasks[0].needs.memoryMb == 7);
}

Test(CallerApi, namesTheFieldThatIsWrong)
{
    cr_assert(refusalOf(R"({"caller":1})").find("caller") != std::string::npos);
    cr_assert(refusalOf(R"({"caller":"c","extra":1})").find("job.extra") != std::string::npos);
    cr_assert(refusalOf("[1,2]").find("job: expected an object") != std::string::npos);
    cr_assert(!refusalOf("not json").empty());
}

Test(CallerApi, refusesDeepNesting)
{
    const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
    cr_assert(!refusalOf(deep).empty());
}

Test(CallerApi, requiresIdempotentInARequest)
{
    const auto request = parseRequest(
        R"({"caller":"c","team":"t","service":"s","deadlineUnixMs":5,"payload":"p"})", "made");
    cr_assert(!request.has_value());
    cr_assert(request.assume_error().message.find("idempotent") != std::string::npos);
}
