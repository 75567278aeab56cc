#include "cli/Arguments.h"
#include "cli/Command.h"
#include "wire/MessageCodec.h"

#include <event2/http.h>
#include <fmt/format.h>

#include <cstdlib>

namespace oleanderport {

namespace {

    constexpr Milliseconds responseMargin { 5'000 };
    constexpr const char* defaultWait = "60000";

    std::string encode(const std::string& text)
    {
        char* encoded = evhttp_encode_uri(text.c_str());
        std::string value(encoded);
        std::free(encoded);
        return value;
    }

    ExitCode printAnswer(const Result<HttpAnswer>& answer, const std::string& address, bool json)
    {
        if (!answer.has_value())
            return reportError(answer.assume_error());
        const auto body = parseJson(answer.assume_value().body);
        if (!body.has_value())
            return reportError(body.assume_error());
        const Json::Value& value = body.assume_value();
        if (value.isMember("error") && !value.isMember("state"))
            return reportError(errorFromJson(value["error"], address));
        const std::string state = value["state"].asString();
        if (json)
            fmt::print("{}\n", prettyJson(value));
        else
            fmt::print("job {}/{}: {}, {} results, {} failures\n", value["caller"].asString(), value["job"].asString(),
                state, value["results"].size(), value["failures"].size());
        if (state != "failed")
            return ExitCode::Success;
        return reportError(errorFromJson(value["error"], address));
    }

    void addEntryOption(cxxopts::Options& options)
    {
        options.add_options()("entry", "IP:port of an entry", cxxopts::value<std::string>());
        addOutputOption(options);
    }

    void addWaitOption(cxxopts::Options& options, const char* byDefault)
    {
        options.add_options()("wait", "Time to wait for the answer, in milliseconds",
            cxxopts::value<std::int64_t>()->default_value(byDefault));
    }

    std::string jobPath(const cxxopts::ParseResult& arguments)
    {
        return fmt::format("/v1/jobs/{}/{}", encode(requiredText(arguments, "caller")),
            encode(requiredText(arguments, "job")));
    }

    void addKeyOptions(cxxopts::Options& options)
    {
        options.add_options()("caller", "Caller that submitted the job", cxxopts::value<std::string>())(
            "job", "Id that the caller gave the job", cxxopts::value<std::string>());
    }

} // namespace

ExitCode runSubmit(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport submit", "Submits the job in a JSON file; see docs/API.md.");
    addEntryOption(options);
    addWaitOption(options, defaultWait);
    options.add_options()("file", "JSON file, or - for standard input", cxxopts::value<std::string>())(
        "deadline-in", "Deadline of the job in milliseconds from now", cxxopts::value<std::int64_t>());
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const auto text = readFile(requiredText(*parsed, "file"));
    if (!text.has_value())
        return reportError(text.assume_error());
    std::string body = text.assume_value();
    if (parsed->count("deadline-in") > 0) {
        auto job = parseJson(body);
        if (!job.has_value())
            return reportError(job.assume_error());
        const Milliseconds deadline = Clock::unixNow() + Milliseconds { (*parsed)["deadline-in"].as<std::int64_t>() };
        job.assume_value()["deadlineUnixMs"] = static_cast<Json::Int64>(deadline.count);
        body = writeJson(job.assume_value());
    }
    const std::int64_t wait = (*parsed)["wait"].as<std::int64_t>();
    const std::string entry = requiredText(*parsed, "entry");
    const HttpCall call { .method = HttpMethod::Post,
        .path = fmt::format("/v1/jobs?waitMs={}", wait),
        .body = body,
        .timeout = Milliseconds { wait } + responseMargin };
    return printAnswer(callAndWait(entry, call), entry, wantsJson(*parsed));
}

ExitCode runJob(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport job", "Prints the state or answer of a job.");
    addEntryOption(options);
    addWaitOption(options, "0");
    addKeyOptions(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::int64_t wait = (*parsed)["wait"].as<std::int64_t>();
    const std::string entry = requiredText(*parsed, "entry");
    const HttpCall call { .method = HttpMethod::Get,
        .path = fmt::format("{}?waitMs={}", jobPath(*parsed), wait),
        .body = {},
        .timeout = Milliseconds { wait } + responseMargin };
    return printAnswer(callAndWait(entry, call), entry, wantsJson(*parsed));
}

ExitCode runCancel(const std::vector<std::string>& arguments)
{
    cxxopts::Options options("oleanderport cancel", "Cancels a job; tasks that have not started never will.");
    addEntryOption(options);
    addKeyOptions(options);
    const auto parsed = parseArguments(options, arguments);
    if (!parsed)
        return ExitCode::Success;
    const std::string entry = requiredText(*parsed, "entry");
    const HttpCall call {
        .method = HttpMethod::Delete, .path = jobPath(*parsed), .body = {}, .timeout = responseMargin
    };
    return printAnswer(callAndWait(entry, call), entry, wantsJson(*parsed));
}

} // namespace oleanderport
