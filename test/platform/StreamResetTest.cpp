#include "support/FaultRelay.h"
#include "support/PlatformDeployment.h"

#include <criterion/criterion.h>

#include <string>

using namespace oleanderport;
using namespace oleanderport::platform;

// While its stream is down, an entry can't have runs stopped whose caller has left.
Test(StreamReset, anEntryHasItsStreamBackSoonAfterAReset)
{
    const std::string relayAddress = freeAddress();
    PlatformDeployment deployment({}, {}, relayAddress);
    const auto portOf = [](const std::string& address) { return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))); };
    FaultRelay relay(deployment.loop, portOf(relayAddress), portOf(deployment.sidecarStream));
    cr_assert(relay.start().has_value());
    deployment.becomeReady();
    for (int i = 0; i < 3; ++i) {
        deployment.runFor({ 1'000 });
        const Milliseconds resetAt = Clock::now();
        relay.setFault({ .refuse = true });
        relay.setFault({});
        cr_assert(runUntil(deployment.loop, [&] { return deployment.entry.dispatch().sidecars() == 0; }));
        cr_assert(runUntil(deployment.loop, [&] { return deployment.entry.dispatch().sidecars() == 1; }));
        const Milliseconds took = Clock::now() - resetAt;
        cr_assert(took < Milliseconds { 40 }, "expected the stream back within 40 ms, got %lld", static_cast<long long>(took.count));
    }
}
