#include "sidecar/RunServer.h"

#include "support/FreeAddress.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

Result<void> startWith(Milliseconds resubmitAfter)
{
    EventLoop loop;
    const Settings settings { .role = Role::Sidecar,
        .instance = "sidecar-1",
        .listen = freeAddress(),
        .dataCentre = "dc",
        .controlPeers = { "127.0.0.1:1" },
        .streamListen = freeAddress(),
        .resubmitAfter = resubmitAfter };
    RunServer server(loop, settings);
    return server.start();
}

} // namespace

// An operator whose callers submit again sooner than runs are known to have ended must hear of it (review case 3).
Test(RunServer, doesNotStartWhereARunMayOutliveItsEntryForLongerThanCallersWait)
{
    const auto refused = startWith({ 1'200 });
    cr_assert(!refused.has_value() && refused.assume_error().code == ErrorCode::BadSettings);
    const auto& message = refused.assume_error().message;
    cr_assert(message.find("sidecar.resubmit_after_ms: expected more than ") != std::string::npos && message.find("got 1200") != std::string::npos, "got '%s'", message.c_str());
    cr_assert(startWith({ 1'300 }).has_value());
}
