#include "base/Digest.h"
#include "control/ControlCodec.h"
#include "policy/ControlState.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds noon { 1'800'000'000'000 };
const ControlStateOptions options { .keptVersions = 4, .keptChanges = 6 };

class Documents {
public:
    Result<DocumentApplied> apply(const std::string& environment, std::uint64_t base, const std::string& changeId,
        const std::string& text, const std::string& author = "ann")
    {
        return outcomeOf(AcceptDocument { .change = { .environment = environment,
                                              .text = text,
                                              .baseVersion = base,
                                              .changeId = changeId,
                                              .author = author,
                                              .reason = "a reason" },
            .config = { .digest = digestOf(text), .dataCentres = { "dc-a" } } });
    }

    Result<DocumentApplied> promote(std::uint64_t base, const std::string& changeId, const std::string& text)
    {
        return outcomeOf(PromoteDocument {
            .digest = digestOf(text), .baseVersion = base, .changeId = changeId, .author = "cid", .reason = "go" });
    }

    // Encodes and decodes the state, as a restart from a snapshot does.
    void restart() { state = decodeState(encodeState(state), options).assume_value(); }

    const EnvironmentConfig& config(const std::string& environment) const { return state.view(environment).config; }

    ControlState state { options };

private:
    template <typename Change>
    Result<DocumentApplied> outcomeOf(const Change& change)
    {
        const auto outcome = state.apply({ .stampUnix = noon, .change = change });
        if (!outcome.has_value())
            return outcome.assume_error();
        return std::get<DocumentApplied>(outcome.assume_value());
    }
};

void expectVersion(const Result<DocumentApplied>& result, std::uint64_t expected)
{
    cr_assert(result.has_value(), "expected version %zu, got: %s", static_cast<std::size_t>(expected),
        result.has_value() ? "" : describe(result.assume_error()).c_str());
    const std::uint64_t actual = result.assume_value().version;
    cr_assert(actual == expected, "expected version %zu, got %zu", static_cast<std::size_t>(expected),
        static_cast<std::size_t>(actual));
}

void expectConflict(const Result<DocumentApplied>& result, const std::string& part)
{
    cr_assert(!result.has_value(), "expected a conflict");
    const Error& error = result.assume_error();
    cr_assert(error.code == ErrorCode::Conflict);
    cr_assert(error.ran == Ran::No);
    cr_assert(error.message.find(part) != std::string::npos, "expected '%s' in '%s'", part.c_str(),
        error.message.c_str());
}

} // namespace

Test(DocumentHistory, eachEnvironmentHasItsOwnDocument)
{
    Documents documents;
    expectVersion(documents.apply(trialEnvironment, 0, "one", "a"), 1);
    expectVersion(documents.apply(trialEnvironment, 1, "two", "b"), 2);
    cr_assert(documents.config(productionEnvironment).version == 0);
    cr_assert(documents.state.view(productionEnvironment).version == 0);
    cr_assert(documents.config(trialEnvironment).environment == trialEnvironment);
}

Test(DocumentHistory, aConflictNamesTheAuthorAndTimeOfTheAcceptedChange)
{
    Documents documents;
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a", "ann"), 1);
    const auto refused = documents.apply(productionEnvironment, 0, "two", "b", "ben");
    expectConflict(refused, "ann made version 1 at 2027-01-15T08:00:00.000Z with change one");
    cr_assert(documents.config(productionEnvironment).digest == digestOf("a"));
}

Test(DocumentHistory, aResentChangeGetsItsFirstResponseAlsoAfterARestart)
{
    Documents documents;
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    const auto refused = documents.apply(productionEnvironment, 0, "lost", "b");
    expectVersion(documents.apply(productionEnvironment, 1, "two", "c"), 2);
    documents.restart();
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    const auto resent = documents.apply(productionEnvironment, 0, "lost", "b");
    cr_assert(!resent.has_value());
    const auto expected = refused.assume_error().message;
    const auto actual = resent.assume_error().message;
    cr_assert(actual == expected, "expected '%s', got '%s'", expected.c_str(), actual.c_str());
    cr_assert(documents.config(productionEnvironment).version == 2, "expected a resend to change nothing");
}

Test(DocumentHistory, aChangeIdIsRefusedWithOtherContent)
{
    Documents documents;
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    expectConflict(documents.apply(productionEnvironment, 1, "one", "b"), "change id one was used");
    expectConflict(documents.apply(productionEnvironment, 0, "one", "a", "ben"), "change id one was used");
    expectConflict(documents.promote(0, "one", "a"), "change id one was used");
    cr_assert(documents.config(productionEnvironment).version == 1);
}

Test(DocumentHistory, aResendIsRefusedOnceItsResponseIsNoLongerKept)
{
    Documents documents;
    for (std::uint64_t version = 0; version < 10; ++version)
        expectVersion(documents.apply(productionEnvironment, version, fmt::format("change-{}", version),
                          fmt::format("text-{}", version)),
            version + 1);
    expectConflict(documents.apply(productionEnvironment, 0, "change-0", "text-0"), "version 10 is in force");
    cr_assert(documents.state.environment(productionEnvironment)->history.size() == options.keptVersions);
    cr_assert(documents.config(productionEnvironment).version == 10);
}

Test(DocumentHistory, refusesABaseThatDoesNotExistYetAlsoWhenResentLater)
{
    Documents documents;
    expectConflict(documents.apply(productionEnvironment, 1, "early", "b"), "version 0 is the newest");
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    expectConflict(documents.apply(productionEnvironment, 1, "early", "b"), "version 0 is the newest");
}

Test(DocumentHistory, promotesExactlyTheDocumentInForceInTrial)
{
    Documents documents;
    expectVersion(documents.apply(trialEnvironment, 0, "one", "a"), 1);
    expectVersion(documents.apply(trialEnvironment, 1, "two", "b"), 2);
    expectConflict(documents.promote(0, "stale", "a"), "is in force in trial");
    expectVersion(documents.promote(0, "go", "b"), 1);
    const auto& production = *documents.state.environment(productionEnvironment);
    cr_assert(production.view.config.digest == digestOf("b"));
    cr_assert(production.view.config.environment == productionEnvironment);
    cr_assert(production.history.back().text == "b");
    cr_assert(production.history.back().summary.promotedFrom == 2);
    expectVersion(documents.apply(trialEnvironment, 2, "three", "c"), 3);
    expectVersion(documents.promote(0, "go", "b"), 1);
    cr_assert(documents.config(productionEnvironment).digest == digestOf("b"), "expected a resend to promote nothing");
}

Test(DocumentHistory, promotesNothingWhenTrialHasNoDocument)
{
    Documents documents;
    const auto refused = documents.promote(0, "go", "");
    cr_assert(!refused.has_value());
    cr_assert(refused.assume_error().code == ErrorCode::NotFound);
}

Test(DocumentHistory, aRollbackIsANewVersionOfDocumentAndView)
{
    Documents documents;
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    expectVersion(documents.apply(productionEnvironment, 1, "two", "b"), 2);
    const std::string old = documents.state.environment(productionEnvironment)->history.front().text;
    const auto viewBefore = documents.state.view().version;
    expectVersion(documents.apply(productionEnvironment, 2, "back", old), 3);
    cr_assert(documents.config(productionEnvironment).digest == digestOf("a"));
    cr_assert(documents.state.view().version == viewBefore + 1);
}

Test(DocumentHistory, aDataCentreIsTakenOutOnceWithAuthorAndReason)
{
    Documents documents;
    expectVersion(documents.apply(productionEnvironment, 0, "one", "a"), 1);
    const DataCentreChange out { .dataCentre = "dc-a", .out = true, .author = "ann", .reason = "flood" };
    const auto first
        = std::get<DataCentreChanged>(documents.state.apply({ .stampUnix = noon, .change = out }).assume_value());
    const auto repeated
        = std::get<DataCentreChanged>(documents.state.apply({ .stampUnix = noon, .change = out }).assume_value());
    cr_assert(first.changed);
    cr_assert(!repeated.changed);
    cr_assert(first.viewVersion == repeated.viewVersion);
    const auto& records = documents.state.dataCentreChanges();
    cr_assert(records.size() == 1);
    cr_assert(records[0].change.author == "ann");
    cr_assert(records[0].change.reason == "flood");
    cr_assert(records[0].whenUnix == noon);
    cr_assert(documents.state.view(trialEnvironment).dataCentresOut.size() == 1, "expected the data centre to be out in every environment");
}

Test(DocumentHistory, processesSeeOnlyMembersOfTheirEnvironment)
{
    Documents documents;
    const NodeInfo sidecar { .role = Role::Sidecar, .instance = "sidecar-t", .environment = trialEnvironment };
    const NodeInfo entry { .role = Role::Entry, .instance = "entry-p" };
    cr_assert(documents.state.apply({ .stampUnix = noon, .change = OpenSessionRequest { .node = sidecar } }).has_value());
    cr_assert(documents.state.apply({ .stampUnix = noon, .change = OpenSessionRequest { .node = entry } }).has_value());
    cr_assert(documents.state.view(trialEnvironment).members.size() == 1);
    cr_assert(documents.state.view(productionEnvironment).members.size() == 1);
    cr_assert(documents.state.view(productionEnvironment).members[0].id.instance == "entry-p");
    cr_assert(documents.state.members().size() == 2);
}

Test(DocumentHistory, environmentsClaimTheSameJobIdSeparately)
{
    Documents documents;
    const auto open = [&documents](const std::string& instance, const std::string& environment) {
        const NodeInfo node { .role = Role::Entry, .instance = instance, .environment = environment };
        const auto opened = documents.state.apply({ .stampUnix = noon, .change = OpenSessionRequest { .node = node } });
        return std::get<SessionId>(opened.assume_value());
    };
    const auto claim = [&documents](const SessionId& entry, const std::string& digest) {
        const ClaimRequest request { .entry = entry,
            .key = { .caller = "caller", .job = "job" },
            .digest = digest,
            .service = "service",
            .deadlineUnix = noon + Milliseconds { 1'000 } };
        return documents.state.apply({ .stampUnix = noon, .change = request });
    };
    const auto trial = open("entry-t", trialEnvironment);
    const auto production = open("entry-p", productionEnvironment);
    cr_assert(claim(trial, "a").has_value());
    const auto other = claim(production, "b");
    cr_assert(other.has_value());
    cr_assert(std::get<ClaimResponse>(other.assume_value()).owner == production);
    const FindJobRequest find { .environment = trialEnvironment, .key = { .caller = "caller", .job = "job" } };
    cr_assert(documents.state.findJob(find).owner == trial);
}
