#include "entry/ExchangeServer.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

const SessionId entrySession { .instance = "entry-1", .incarnation = 1 };
const SessionId sidecarSession { .instance = "sidecar-1", .incarnation = 4 };

// The exchange server of one entry, without sockets.
struct Entry {
    EventLoop loop;
    Process process { loop, Settings { .instance = "entry-1", .dataCentre = "dc-a" } };
    JobTable jobs { JobTableOptions {} };
    int unknown { 0 };
    ExchangeServer exchange { process, jobs, { .changed = [] {}, .unknownSidecar = [this] { ++unknown; } } };

    Entry() { exchange.setSession(entrySession); }

    void addSidecar()
    {
        ClusterView view;
        view.members.push_back({ .id = sidecarSession, .node = { .role = Role::Sidecar, .service = "echo", .slots = 8 } });
        exchange.viewChanged(view);
    }
};

ExchangeRequest poll(const SessionId& entry)
{
    return { .sidecar = sidecarSession, .entry = entry, .channel = Channel::Poll, .sequence = 1, .grantedTotal = 8 };
}

} // namespace

Test(ExchangeServer, refreshesTheViewWhenAnUnknownSidecarCalls)
{
    Entry entry;
    bool refused = false;
    const auto keep = [&refused](const Result<ExchangeResponse>& response) { refused = !response.has_value(); };
    entry.exchange.handle(poll(entrySession), keep);
    cr_assert(refused, "expected the poll of the unknown sidecar to be refused");
    cr_assert_eq(entry.unknown, 1, "expected 1 refresh of the view, got %d", entry.unknown);

    entry.addSidecar();
    refused = false;
    entry.exchange.handle(poll(entrySession), keep);
    cr_assert(!refused, "expected the poll of the known sidecar to be held");
    cr_assert_eq(entry.unknown, 1, "expected no further refresh of the view, got %d in all", entry.unknown);
}

Test(ExchangeServer, doesNotRefreshTheViewForACallToAFormerIncarnation)
{
    Entry entry;
    entry.exchange.handle(
        poll({ .instance = "entry-1", .incarnation = 0 }), [](const Result<ExchangeResponse>&) {});
    cr_assert_eq(entry.unknown, 0, "expected no refresh of the view, got %d", entry.unknown);
}
