#include "control/OperatorMethods.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

// A leader whose proposals are committed or failed by the test.
class ManualReplicator final : public Replicator {
public:
    void propose(decltype(ControlCommand::change) change, Done done) override { proposals.emplace_back(std::move(change), std::move(done)); }
    bool isLeader() const override { return leads; }
    std::string leaderAddress() const override { return "10.0.0.9:1"; }
    std::vector<std::string> instances() const override { return { "10.0.0.9:1" }; }
    const ControlState& state() const override { return m_state; }

    void commitNext()
    {
        const auto [change, done] = proposals.front();
        proposals.erase(proposals.begin());
        done(m_state.apply({ .stampUnix = { 1 }, .change = change }));
    }

    void failNext()
    {
        const Done done = proposals.front().second;
        proposals.erase(proposals.begin());
        done(Error { .code = ErrorCode::Unavailable, .ran = Ran::Unknown, .step = "control.propose" });
    }

    bool leads { true };
    std::vector<std::pair<decltype(ControlCommand::change), Done>> proposals;

private:
    ControlState m_state { {} };
};

struct Operators {
    // Publishes a version. Returns the index of its answer in `answers`.
    std::size_t publish(std::uint64_t version)
    {
        const std::size_t index = answers.size();
        answers.emplace_back();
        methods.publishCatalogue({ .catalogue = { .version = version, .queues = { { .name = "q" } } }, .source = "text" },
            [this, index](const Result<CataloguePublished>& answer) { answers[index] = answer; });
        return index;
    }

    EventLoop loop;
    Process process { loop, Settings {} };
    ManualReplicator replicator;
    SessionTimers timers;
    OperatorMethods methods { process, replicator, timers };
    std::vector<std::optional<Result<CataloguePublished>>> answers;
};

} // namespace

Test(OperatorMethods, aCatalogueThatIsSentAgainWaitsForTheOneUnderWay)
{
    Operators operators;
    const auto first = operators.publish(7);
    const auto again = operators.publish(7);
    cr_assert(operators.replicator.proposals.size() == 1, "expected one log entry, got %zu", operators.replicator.proposals.size());
    cr_assert(!operators.answers[again].has_value(), "expected no acknowledgement before the commit");
    operators.replicator.commitNext();
    for (const auto index : { first, again }) {
        cr_assert(operators.answers[index].has_value() && operators.answers[index]->has_value());
        cr_assert(operators.answers[index]->assume_value().version == 7);
    }
}

Test(OperatorMethods, aCatalogueThatIsNoNewerIsAnsweredWithoutAnEntryOfTheLog)
{
    Operators operators;
    operators.publish(7);
    operators.replicator.commitNext();
    for (const std::uint64_t version : { 7, 5 }) {
        const auto late = operators.publish(version);
        cr_assert(operators.replicator.proposals.empty());
        cr_assert(operators.answers[late]->has_value());
        cr_assert(operators.answers[late]->assume_value().version == 7 && !operators.answers[late]->assume_value().changed);
    }
    operators.replicator.leads = false;
    const auto elsewhere = operators.publish(7);
    cr_assert(!operators.answers[elsewhere]->has_value(), "expected an error: only a confirmed leader knows the version in force");
    cr_assert(operators.answers[elsewhere]->assume_error().code == ErrorCode::NotLeader);
}

Test(OperatorMethods, aLostCatalogueIsUnknownToAllWhoWaitAndCanBeSentAgain)
{
    Operators operators;
    const auto first = operators.publish(7);
    const auto again = operators.publish(7);
    operators.replicator.failNext();
    for (const auto index : { first, again })
        cr_assert(!operators.answers[index]->has_value() && operators.answers[index]->assume_error().ran == Ran::Unknown);
    const auto later = operators.publish(7);
    operators.replicator.commitNext();
    cr_assert(operators.answers[later]->has_value());
}
