#pragma once

#include "wire/DispatchMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Keeps tasks that slow each other down on different minions where there is room; see TaskInterference.
namespace oleanderport {

// A pair of queues that began or ceased to be kept apart.
struct RivalryChange {
    std::uint64_t queue { 0 };
    std::uint64_t neighbour { 0 };
    bool isKeptApart { false };
    // Sidecars that found one of both slowed down beside the other.
    std::size_t sidecars { 0 };
};

// The queues of one service that are to be kept apart, as an entry knows them by the reports of sidecars. Every entry has the same reports and
// derives the same halves of the minions from them, so entries separate queues alike without a message to each other.
class RivalQueues {
public:
    // A sidecar whose minion works for the service.
    void add(const std::string& sidecar);
    // The slowdowns that a sidecar reports, all of them at once.
    void reported(const std::string& sidecar, const std::vector<QueueSlowdown>&);
    // The sidecar has left the deployment.
    void remove(const std::string& sidecar);

    bool empty() const { return m_rivals.empty(); }
    std::size_t pairs() const { return m_rivals.size(); }
    bool areRivals(std::uint64_t queue, std::uint64_t other) const { return m_rivals.contains(ordered(queue, other)); }
    // Whether the queue has rivals and prefers the other half of the minions.
    bool prefersOtherMinions(std::uint64_t queue, const std::string& sidecar) const;
    std::vector<RivalryChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    using Queues = std::pair<std::uint64_t, std::uint64_t>;

    static Queues ordered(std::uint64_t a, std::uint64_t b) { return { std::min(a, b), std::max(a, b) }; }
    void update();
    void assignHalves();
    void divideMinions();

    // By sidecar: pairs of which one is slowed down beside the other.
    std::map<std::string, std::set<Queues>> m_reports;
    std::set<Queues> m_rivals;
    // By queue, of those with other rivals than themselves.
    std::map<std::uint64_t, int> m_halves;
    // All minions in the order of the digests of their names, and the half of each.
    std::set<std::pair<std::uint64_t, std::string>> m_minions;
    std::map<std::string, int> m_halfOfMinion;
    std::vector<RivalryChange> m_changes;
};

} // namespace oleanderport
