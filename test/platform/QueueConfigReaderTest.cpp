#include "QueueConfigReader.h"

#include "control/ControlCodec.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;
using platform::readQueueConfig;

namespace {

std::string route(const std::string& name, const std::string& place, const std::string& service = "s1", int timeout = 1500)
{
    return fmt::format(
        R"({{"name":"{}","host":"h.example","pathPrefix":"/{}/","kind":"non_idempotent","timeoutMs":{},"targetLatencyMs":60,"priority":2,"service":"{}","maxAttempts":4,"stretch":1.6}})",
        name, place, timeout, service);
}

std::string config(const std::string& version, const std::string& routes)
{
    return fmt::format(R"({{"version":{},"routes":[{}],"services":[{{"name":"s1","maxConns":64}}],"limits":{{}},"new":1}})",
        version, routes);
}

} // namespace

Test(QueueConfigReader, readsQueuesWithTheirObjectives)
{
    const std::string body = config("7", route("r1", "a") + "," + route("r2", "b"));
    const auto read = readQueueConfig(body);
    cr_assert(read.has_value());
    const PublishCatalogue& request = read.assume_value();
    cr_assert(request.source == body && request.catalogue.version == 7 && request.catalogue.queues.size() == 2);
    const QueueConfig& queue = request.catalogue.queues[0];
    cr_assert(queue.name == "r1" && queue.host == "h.example" && queue.pathPrefix == "/a/" && queue.service == "s1");
    cr_assert(queue.priority == 2 && queue.maxAttempts == 4 && queue.stretchPercent == 160);
    cr_assert(queue.latencyAllowance == Milliseconds { 60 } && queue.timeLimit == Milliseconds { 1500 });
    cr_assert(!queue.unsupported);
}

Test(QueueConfigReader, refusesWhatIsInvalid)
{
    const std::string whole = config("7", route("r1", "a"));
    const std::string bad[] = { "", "{}", whole.substr(0, whole.size() - 1), whole + "x", config("0", route("r1", "a")),
        config("-1", route("r1", "a")), config("\"7\"", route("r1", "a")), config("7", route("r1", "a", "s2")),
        config("7", route("r1", "a", "s1", 0)), config("7", route("r1", "a") + "," + route("r2", "a")),
        config("7", route("r1", "a") + "," + route("r1", "b")), config("7", "{}"), config("7", "3") };
    for (const auto& text : bad) {
        const auto read = readQueueConfig(text);
        cr_assert(!read.has_value(), "expected a refusal of %s", text.c_str());
        cr_assert(read.assume_error().code == ErrorCode::BadSettings);
    }
}

namespace {

std::string routeWith(const std::string& field, const std::string& value)
{
    std::string text = route("r1", "a");
    const auto start = text.find("\"" + field + "\":");
    const auto end = text.find_first_of(",}", start);
    return text.replace(start, end - start, fmt::format(R"("{}":{})", field, value));
}

} // namespace

// A config with a negative number was committed, and every control instance ended when it applied it (review case 1).
Test(QueueConfigReader, refusesNumbersThatAreNone)
{
    for (const std::string field : { "priority", "maxAttempts", "stretch", "targetLatencyMs", "timeoutMs" }) {
        for (const std::string value : { "-1", "-0.5", "-9223372036854775808", "-1e300", "\"2\"", "true", "[]", "{}" }) {
            const auto read = readQueueConfig(config("7", routeWith(field, value)));
            cr_assert(!read.has_value(), "expected a refusal of %s %s", field.c_str(), value.c_str());
            cr_assert(read.assume_error().code == ErrorCode::BadSettings && read.assume_error().message.find(field) != std::string::npos);
        }
        if (field != "stretch")
            cr_assert(!readQueueConfig(config("7", routeWith(field, "1.5"))).has_value(), "%s", field.c_str());
    }
}

// A stretch whose percentage does not fit into 64 bits became a negative number on x86-64 (issue #34).
Test(QueueConfigReader, whatItReadsCanBeStored)
{
    for (const std::string field : { "priority", "maxAttempts", "stretch", "targetLatencyMs", "timeoutMs" }) {
        for (const std::string value : { "0", "1", "2147483648", "9223372036854775807", "9223372036854775808", "1e19", "1e300" }) {
            const auto read = readQueueConfig(config("7", routeWith(field, value)));
            cr_assert(read.has_value() == (field != "timeoutMs" || value != "0"), "%s %s", field.c_str(), value.c_str());
            if (read.has_value())
                cr_assert(encodeForLog({ .change = read.assume_value() }).has_value(), "%s %s", field.c_str(), value.c_str());
        }
    }
    cr_assert(readQueueConfig(config("7", routeWith("stretch", "1e300"))).assume_value().catalogue.queues[0].stretchPercent == 100'000'000);
}

Test(QueueConfigReader, marksQueuesThatNeedAdvice)
{
    std::string text = route("r1", "a");
    text.insert(1, R"("advice":true,)");
    const auto read = readQueueConfig(config("7", text));
    cr_assert(read.has_value() && read.assume_value().catalogue.queues[0].unsupported);
}
