#include "wire/Process.h"

#include "support/FreeAddress.h"
#include "support/RawPeer.h"
#include "wire/HttpClient.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

HttpAnswer get(EventLoop& loop, const std::string& address, const std::string& path)
{
    HttpConnection connection(loop, address);
    std::optional<Result<HttpAnswer>> answer;
    connection.call({ .method = HttpMethod::Get, .path = path, .timeout = { 5'000 } },
        [&answer](const Result<HttpAnswer>& given) { answer = given; });
    cr_assert(runUntil(loop, [&answer] { return answer.has_value(); }));
    cr_assert(answer->has_value(), "no answer from %s%s", address.c_str(), path.c_str());
    return answer->assume_value();
}

} // namespace

Test(Process, servesMetricsAtBothAddressesAndNothingElseAtTheMetricsAddress)
{
    EventLoop loop;
    Settings settings;
    settings.instance = "entry-1";
    settings.listen = freeAddress();
    settings.metricsListen = freeAddress();
    Process process(loop, settings);
    process.metrics.add("starts_total");
    cr_assert(process.listen({}).has_value());
    for (const auto& address : { settings.listen, settings.metricsListen }) {
        const HttpAnswer answer = get(loop, address, "/metrics");
        cr_assert(answer.status == 200 && answer.body.find("oleanderport_starts_total 1") != std::string::npos, "got %d %s", answer.status,
            answer.body.c_str());
    }
    cr_assert(get(loop, settings.listen, "/healthz").status == 200);
    cr_assert(get(loop, settings.metricsListen, "/healthz").status == 404);
}

Test(Process, doesNotStartWhenTheMetricsAddressIsTaken)
{
    EventLoop loop;
    Settings settings;
    settings.instance = "entry-1";
    settings.listen = freeAddress();
    settings.metricsListen = settings.listen;
    Process process(loop, settings);
    cr_assert(!process.listen({}).has_value());
}
