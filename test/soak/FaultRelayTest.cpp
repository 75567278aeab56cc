#include "support/FaultRelay.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds holdTime { 150 };

// A server that answers with what it gets, and two clients, of which the relay disturbs the first.
struct TwoClients {
    EventLoop loop;
    std::string received;
    RawServer server { loop, [this](RawConnection& connection) {
                          received = connection.received();
                          connection.send(connection.received().substr(m_echoed[&connection]));
                          m_echoed[&connection] = connection.received().size();
                      } };
    std::uint16_t port { [] {
        // A port that was free a moment ago.
        EventLoop scratch;
        return RawServer(scratch, [](RawConnection&) {}).port();
    }() };
    FaultRelay relay { loop, port, server.port() };
    std::unique_ptr<RawConnection> disturbed;
    std::unique_ptr<RawConnection> other;

    TwoClients()
    {
        cr_assert(relay.start().has_value());
        disturbed = rawConnect(loop, port);
        other = rawConnect(loop, port);
    }

    void openBoth()
    {
        disturbed->send("I am entry-1.");
        other->send("I am entry-2.");
    }
    bool hasAnswers(const RawConnection& client, std::size_t bytes)
    {
        return runUntil(loop, [&client, bytes] { return client.received().size() >= bytes; });
    }
    void wait(Milliseconds time)
    {
        const Milliseconds end = Clock::now() + time;
        runUntil(loop, [end] { return Clock::now() >= end; });
    }

private:
    std::map<RawConnection*, std::size_t> m_echoed;
};

constexpr std::size_t opening = 13;

} // namespace

Test(FaultRelay, dropsTheTrafficOfOneClient)
{
    TwoClients test;
    test.relay.setClientFault("entry-1", { .dropAnswers = true });
    test.openBoth();
    cr_assert(test.hasAnswers(*test.other, opening));
    test.wait(holdTime);
    cr_assert(test.disturbed->received().empty() && !test.disturbed->closedByPeer());
    test.relay.setClientFault("entry-1", {});
    cr_assert(runUntil(test.loop, [&test] { return test.disturbed->closedByPeer(); }), "a connection that has lost bytes must close");
    cr_assert(!test.other->closedByPeer());
}

Test(FaultRelay, deliversWhatItHeldTogether)
{
    TwoClients test;
    test.openBoth();
    cr_assert(test.hasAnswers(*test.disturbed, opening) && test.hasAnswers(*test.other, opening));
    const Milliseconds until = Clock::now() + holdTime;
    test.relay.setClientFault("entry-1", { .holdRequestsUntil = until });
    test.disturbed->send("a");
    test.wait({ 30 });
    test.disturbed->send("b");
    test.other->send("c");
    cr_assert(test.hasAnswers(*test.other, opening + 1));
    cr_assert(test.hasAnswers(*test.disturbed, opening + 2));
    cr_assert(Clock::now() >= until && test.disturbed->received() == "I am entry-1.ab", "got %s", test.disturbed->received().c_str());
}

Test(FaultRelay, holdsOneDirectionAlone)
{
    TwoClients test;
    test.openBoth();
    cr_assert(test.hasAnswers(*test.disturbed, opening));
    const Milliseconds until = Clock::now() + holdTime;
    test.relay.setClientFault("entry-1", { .holdAnswersUntil = until });
    test.disturbed->send("a");
    cr_assert(runUntil(test.loop, [&test] { return test.received == "I am entry-1.a"; }));
    cr_assert(test.disturbed->received().size() == opening);
    cr_assert(test.hasAnswers(*test.disturbed, opening + 1));
    cr_assert(Clock::now() >= until);
}

Test(FaultRelay, tellsTheTargetLateThatItsClientsWereReset)
{
    EventLoop loop;
    std::vector<RawConnection*> atTarget;
    RawServer server(loop, [&atTarget](RawConnection& connection) { atTarget = { &connection }; });
    const std::uint16_t port = [] {
        EventLoop scratch;
        return RawServer(scratch, [](RawConnection&) {}).port();
    }();
    FaultRelay relay(loop, port, server.port());
    cr_assert(relay.start().has_value());
    const auto client = rawConnect(loop, port);
    client->send("a");
    cr_assert(runUntil(loop, [&atTarget] { return !atTarget.empty(); }));
    const Milliseconds late = Clock::now() + holdTime;
    relay.setFault({ .refuse = true, .newsDelay = holdTime });
    cr_assert(runUntil(loop, [&client] { return client->closedByPeer(); }));
    cr_assert(Clock::now() < late && !atTarget.front()->closedByPeer(), "the target learned at once");
    relay.setFault({});
    cr_assert(runUntil(loop, [&atTarget] { return atTarget.front()->closedByPeer(); }));
    cr_assert(Clock::now() >= late, "the target learned %ld ms too early", static_cast<long>((late - Clock::now()).count));
}

Test(FaultRelay, tellsTheTargetThatItsClientIsGoneWhileAnswersAreOnTheWay)
{
    EventLoop loop;
    std::vector<RawConnection*> atTarget;
    RawServer server(loop, [&atTarget](RawConnection& connection) { atTarget = { &connection }; });
    const std::uint16_t port = [] {
        EventLoop scratch;
        return RawServer(scratch, [](RawConnection&) {}).port();
    }();
    FaultRelay relay(loop, port, server.port());
    cr_assert(relay.start().has_value());
    auto client = rawConnect(loop, port);
    client->send("a");
    cr_assert(runUntil(loop, [&atTarget] { return !atTarget.empty(); }));
    relay.setFault({ .delay = { 50 } });
    atTarget.front()->send("an answer");
    const Milliseconds soon = Clock::now() + Milliseconds { 20 };
    runUntil(loop, [soon] { return Clock::now() >= soon; });
    client.reset();
    cr_assert(runUntil(loop, [&atTarget] { return atTarget.front()->closedByPeer(); }));
}
