#include "base/EnvironmentDocument.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

const std::string good = R"(deployment = "yard"
data_centres = ["dc-a", "dc-b"]
[[team]]
name = "stables"
callers = ["one"]
[[service]]
name = "dispatch"
)";

void expectError(const std::string& text, const std::string& expected)
{
    const auto config = parseEnvironment(text, "doc.toml");
    const std::string errors = config.has_value() ? "no error" : config.assume_error().message;
    cr_assert(errors.find(expected) != std::string::npos, "expected '%s' in '%s'", expected.c_str(), errors.c_str());
}

} // namespace

Test(EnvironmentDocument, readsAGoodDocument)
{
    const auto config = parseEnvironment(good, "doc.toml");
    cr_assert(config.has_value());
    cr_assert(config.assume_value().deployment == "yard");
    cr_assert(config.assume_value().teams.size() == 1);
}

Test(EnvironmentDocument, namesTheLineOfADuplicateTeam)
{
    expectError(good + "[[team]]\nname = \"stables\"\n", "doc.toml:9: team.name: duplicate name 'stables'");
}

Test(EnvironmentDocument, namesTheLineOfACallerInTwoTeams)
{
    expectError(good + "[[team]]\nname = \"other\"\ncallers = [\"two\",\n\"one\"]\n", "doc.toml:11: team.callers: duplicate name 'one'");
}

Test(EnvironmentDocument, namesTheLineOfAnEmptyName)
{
    expectError(good + "[[service]]\nname = \"\"\n", "doc.toml:9: service.name: expected a non-empty name");
}

Test(EnvironmentDocument, namesTheLineOfAnUnknownKey)
{
    expectError(good + "limit = 3\n", "doc.toml:8: service.limit: unknown key");
}

Test(EnvironmentDocument, refusesADocumentWithoutDataCentres)
{
    expectError("deployment = \"yard\"\ndata_centres = []\n", "doc.toml:2: data_centres: expected at least one data centre");
}
