#include "policy/ControlState.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 100'000 };
constexpr Milliseconds deadline { 160'000 };

class Control {
public:
    template <typename Change>
    Result<ControlOutcome> apply(const Change& change, Milliseconds at = start)
    {
        return state.apply({ .stampUnix = at, .change = change });
    }

    SessionId open(Role role, const std::string& instance)
    {
        const NodeInfo node { .role = role, .instance = instance, .dataCentre = "dc-a", .service = "service" };
        return std::get<SessionId>(apply(OpenSessionRequest { .node = node }).assume_value());
    }

    Result<ControlOutcome> claim(const SessionId& entry, const std::string& digest = "digest", Milliseconds at = start)
    {
        return apply(ClaimRequest { .entry = entry,
                         .key = { .caller = "caller", .job = "job" },
                         .digest = digest,
                         .service = "service",
                         .deadlineUnix = deadline },
            at);
    }

    ControlState state { ControlStateOptions {} };
};

ClaimResponse response(const Result<ControlOutcome>& outcome)
{
    return std::get<ClaimResponse>(outcome.assume_value());
}

} // namespace

Test(ControlState, theFirstEntryToClaimAJobOwnsIt)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    const auto two = control.open(Role::Entry, "entry-2");
    cr_assert(response(control.claim(one)).owner == one);
    const auto second = response(control.claim(two));
    cr_assert(second.owner == one);
    cr_assert(second.epoch == 1);
    cr_assert(!second.takenOver);
}

Test(ControlState, refusesTheSameIdWithOtherContent)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    cr_assert(control.claim(one).has_value());
    const auto other = control.claim(one, "other");
    cr_assert(!other.has_value());
    cr_assert(other.assume_error().code == ErrorCode::Conflict);
}

Test(ControlState, aJobOfALostOwnerIsTakenOverUnderAHigherEpoch)
{
    Control control;
    const auto sidecar = control.open(Role::Sidecar, "sidecar-1");
    const auto lost = control.open(Role::Sidecar, "sidecar-2");
    const auto one = control.open(Role::Entry, "entry-1");
    const auto two = control.open(Role::Entry, "entry-2");
    cr_assert(control.claim(one).has_value());
    cr_assert(control.apply(CloseSession { .session = lost }).has_value());
    cr_assert(control.apply(CloseSession { .session = one }).has_value());
    const auto takeover = response(control.claim(two));
    cr_assert(takeover.owner == two);
    cr_assert(takeover.epoch == 2);
    cr_assert(takeover.takenOver);
    cr_assert(takeover.sidecars.size() == 2, "expected the live and the lost sidecar, got %zu", takeover.sidecars.size());
    cr_assert(takeover.sidecars[0].id == sidecar);
    cr_assert(response(control.claim(two)).takenOver, "expected a claim that is resent after a lost response to collect results as well");
}

Test(ControlState, refusesAClaimOfAnEndedSession)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    control.open(Role::Entry, "entry-1");
    const auto refused = control.claim(one);
    cr_assert(!refused.has_value());
    cr_assert(refused.assume_error().code == ErrorCode::StaleIncarnation);
}

Test(ControlState, refusesAClaimAfterTheRetentionOfTheFormerOne)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    cr_assert(control.claim(one).has_value());
    const Milliseconds afterRetention = deadline + Milliseconds { 1'000'000 };
    const auto refused = control.claim(one, "digest", afterRetention);
    cr_assert(control.state.claims() == 0, "expected the claim to be removed after its retention");
    cr_assert(!refused.has_value());
    cr_assert(refused.assume_error().code == ErrorCode::DeadlinePassed);
    cr_assert(refused.assume_error().ran == Ran::Unknown, "expected an unknown outcome, since an earlier submission may have run");
}

Test(ControlState, logTimeNeverDecreases)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    cr_assert(control.apply(CloseSession {}, deadline).has_value());
    const auto refused = control.claim(one, "digest", start);
    cr_assert(!refused.has_value(), "expected a passed deadline to stay passed under a leader whose clock is behind");
}

Test(ControlState, acceptsOneOfTwoChangesThatAreBasedOnTheSameVersion)
{
    Control control;
    const AcceptDocument first { .change = { .baseVersion = 0, .changeId = "one" }, .config = { .digest = "a" } };
    const AcceptDocument second { .change = { .baseVersion = 0, .changeId = "two" }, .config = { .digest = "b" } };
    cr_assert(control.apply(first).has_value());
    const auto refused = control.apply(second);
    cr_assert(!refused.has_value());
    cr_assert(refused.assume_error().code == ErrorCode::Conflict);
    cr_assert(control.state.view().config.digest == "a");
}

Test(ControlState, repeatsTheFirstResponseToAResentChange)
{
    Control control;
    const AcceptDocument change { .change = { .baseVersion = 0, .changeId = "one" }, .config = { .digest = "a" } };
    const auto first = std::get<DocumentApplied>(control.apply(change).assume_value());
    const auto resent = std::get<DocumentApplied>(control.apply(change).assume_value());
    cr_assert(first.version == 1);
    cr_assert(resent.version == 1);
    cr_assert(control.state.view().config.version == 1);
}

Test(ControlState, aJobReportedAsFailedIsNeverTakenOver)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    const auto two = control.open(Role::Entry, "entry-2");
    const auto epoch = response(control.claim(one)).epoch;
    const EndJobRequest end { .entry = one, .key = { .caller = "caller", .job = "job" }, .epoch = epoch };
    cr_assert(control.apply(end).has_value());
    cr_assert(response(control.claim(two)).owner == one, "expected the job to stay with its owner while the session of the owner is open");
    cr_assert(control.apply(CloseSession { .session = one }).has_value());
    const auto refused = control.claim(two);
    cr_assert(!refused.has_value(), "expected a refusal, got a takeover");
    cr_assert(refused.assume_error().code == ErrorCode::AnswerGone);
    cr_assert(refused.assume_error().ran == Ran::Unknown);
}

Test(ControlState, acceptsTheEndOfAJobOnlyFromItsOwner)
{
    Control control;
    const auto one = control.open(Role::Entry, "entry-1");
    const auto two = control.open(Role::Entry, "entry-2");
    cr_assert(control.claim(one).has_value());
    const EndJobRequest end { .entry = two, .key = { .caller = "caller", .job = "job" }, .epoch = 1 };
    const auto refused = control.apply(end);
    cr_assert(!refused.has_value());
    cr_assert(refused.assume_error().code == ErrorCode::StaleEpoch);
}

namespace {

CataloguePublished publish(Control& control, std::uint64_t version, const std::string& queue)
{
    const PublishCatalogue request { .catalogue = { .version = version, .queues = { { .name = queue } } },
        .source = "source of " + queue };
    return std::get<CataloguePublished>(control.apply(request).assume_value());
}

} // namespace

Test(ControlState, keepsTheCatalogueWithTheHighestVersion)
{
    Control control;
    cr_assert(!control.state.view().catalogue && !control.state.catalogueSource());
    cr_assert(publish(control, 7, "seven").changed);
    // The same version with other content and an older version change nothing and are not refused.
    cr_assert(!publish(control, 7, "other").changed);
    cr_assert(publish(control, 3, "three").version == 7);
    cr_assert(control.state.catalogueSource() == "source of seven");
    cr_assert(publish(control, 9, "nine").changed);
    cr_assert(control.state.view().catalogue->queues.front().name == "nine");
    const ControlState copy(ControlStateOptions {}, control.state.content());
    cr_assert(copy.catalogueSource() == "source of nine" && copy.view().catalogue->version == 9);
}

Test(ControlState, takesOutADataCentreThatSettingsDeclare)
{
    Control control;
    const DataCentreChange unknown { .dataCentre = "dc-z", .out = true };
    cr_assert(!control.apply(unknown).has_value());
    DataCentreChange declared = unknown;
    declared.declared = true;
    cr_assert(control.apply(declared).has_value());
    cr_assert(control.state.isOut("dc-z"));
}
