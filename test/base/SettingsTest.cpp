#include "base/Settings.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

const std::string good = R"([process]
role = "entry"
instance = "entry-1"
listen = "127.0.0.1:7000"
data_centre = "dc-a"
[control]
peers = ["127.0.0.1:7100"]
)";

std::string errorsOf(const std::string& text)
{
    const auto settings = parseSettings(text, "test.toml");
    return settings.has_value() ? "" : settings.assume_error().message;
}

void expectError(const std::string& text, const std::string& expected)
{
    const auto errors = errorsOf(text);
    cr_assert(errors.find(expected) != std::string::npos, "expected '%s' in '%s'", expected.c_str(), errors.c_str());
}

} // namespace

Test(Settings, acceptsAMinimalFile) { cr_assert(parseSettings(good, "test.toml").has_value()); }

Test(Settings, namesAnUnknownKeyWithItsLine) { expectError(good + "peer = 1\n", "test.toml:8: control.peer: unknown key"); }

Test(Settings, namesAWrongType) { expectError(good + "lease_ms = \"long\"\n", "control.lease_ms: expected a whole number"); }

Test(Settings, readsWhetherAControlInstanceMayBootstrapAGroup)
{
    cr_assert(!parseSettings(good, "test.toml").assume_value().bootstrap);
    cr_assert(parseSettings(good + "bootstrap = true\n", "test.toml").assume_value().bootstrap);
    expectError(good + "bootstrap = 1\n", "control.bootstrap: expected true or false");
}

Test(Settings, readsTheCatchUpTimeInSeconds)
{
    cr_assert(parseSettings(good + "catch_up_s = 6\n", "test.toml").assume_value().catchUp.count == 6'000);
    cr_assert(parseSettings(good + "catch_up_s = 1.5\n", "test.toml").assume_value().catchUp.count == 1'500);
    for (const char* value : { "0", "\"4\"", "nan", "3601" })
        expectError(good + "catch_up_s = " + value + "\n", "control.catch_up_s: expected a number of seconds from 0.001 to 3600");
}

Test(Settings, readsRoutesToPeers)
{
    const std::string routes = "routes = [\"127.0.0.1:7100=127.0.0.1:7200\"]\n";
    cr_assert(parseSettings(good + routes, "test.toml").assume_value().controlRoutes.at("127.0.0.1:7100") == "127.0.0.1:7200");
    expectError(good + "routes = [\"127.0.0.1:7100\"]\n", "control.routes: expected PEER=ADDRESS");
}

Test(Settings, namesAValueOutOfRange) { expectError(good + "lease_ms = 0\n", "control.lease_ms: expected a whole number from 1"); }

Test(Settings, namesAContradiction)
{
    expectError(good + "lease_ms = 1000\nheartbeat_ms = 900\n", "control.heartbeat_ms: expected at most half of lease_ms");
}

Test(Settings, namesAMissingKey) { expectError("[process]\nrole = \"entry\"\n", "process.instance: missing"); }

Test(Settings, reportsEveryErrorAtOnce)
{
    const auto errors = errorsOf(good + "x = 1\ny = 2\n");
    cr_assert(errors.find("control.x") != std::string::npos);
    cr_assert(errors.find("control.y") != std::string::npos);
}
