#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>

using namespace oleanderport;
using namespace oleanderport::platform;

// Guards against runs for callers that have left an entry that lives, and whose jobs may run through another entry by now.

namespace {

constexpr int callers = 40;

// Sends a request and leaves, all before the entry has read any of it.
void sendAndLeave(const PlatformDeployment& deployment, const std::string& job)
{
    const sockaddr_in address = loopback(static_cast<std::uint16_t>(std::stoi(deployment.front.substr(deployment.front.find(':') + 1))));
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const std::string request = deployment.requestText("POST /a/" + job, testJob);
    cr_assert(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    cr_assert(::send(caller, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    ::close(caller);
}

} // namespace

// As after a pause of the entry: a request is read in one round of the event loop, the close behind it in the next.
Test(CallerGone, startsNothingForCallersThatHadLeftBeforeTheirRequestsWereRead)
{
    PlatformDeployment deployment;
    deployment.becomeReady();
    for (int i = 0; i < callers; ++i) {
        sendAndLeave(deployment, fmt::format("left-{}", i));
        deployment.loop.runOnce();
    }
    deployment.runFor({ 300 });
    const auto started = std::count_if(deployment.minion.started.begin(), deployment.minion.started.end(), [](const std::string& task) { return task.rfind("left-", 0) == 0; });
    cr_assert(started == 0, "expected no start for %d callers that had left, got %ld", callers, static_cast<long>(started));
    cr_assert(deployment.sendAndWait(deployment.front, "POST /a/stays", testJob).find("\"completed\"") != std::string::npos);
}
