#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

struct LeaderSearchOptions {
    // A call that is unanswered for this long is joined by a query to another instance. Shorter than the time for which an
    // instance without a leader holds a call, longer than a busy leader takes to answer. Up to half as much is added at
    // random, so that the processes that lost one leader do not ask together.
    Milliseconds queryAfter { 200 };
};

// Selects the control instances that a process calls and queries while it looks for the leader. It knows the configured
// instances and those that control itself reports: the configured ones may all be cut off from the majority of the group.
class LeaderSearch {
public:
    explicit LeaderSearch(std::vector<std::string> peers, const LeaderSearchOptions& = {});

    // Replaces the configured instances.
    void setPeers(std::vector<std::string> peers);

    // The instance to call.
    const std::string& target() const { return m_target; }

    // The instance failed to answer as the leader. If it is the target, selects the next one: `named`, the leader that it
    // named, or another known instance if that is empty.
    void failed(const std::string& address, const std::string& named);

    // The instance answered a query that it leads.
    void confirmed(const std::string& address) { m_target = m_confirmed = address; }
    // The instance that answered so last and has not failed since; empty if there is none.
    const std::string& confirmedLeader() const { return m_confirmed; }

    // Takes the instances of the group as one of them reports them. They are called in random order after the configured
    // ones, so that processes that search at the same time spread over the group.
    void learn(const std::vector<std::string>& instances, std::uint64_t random);

    // How long a call to one instance waits before a query is due.
    Milliseconds queryDelay(std::uint64_t random) const;
    // The instance to query beside a call to `asked`, each time another one. Empty if no other is known, or if the latest query
    // was less than `queryAfter` ago: all calls of a process share its queries.
    std::string nextQuery(const std::string& asked, Milliseconds now);

private:
    bool isKnown(const std::string& address) const;
    std::vector<std::string> known() const;
    std::string after(const std::string& address) const;

    LeaderSearchOptions m_options;
    std::vector<std::string> m_peers;
    // Without the configured ones.
    std::vector<std::string> m_learned;
    std::string m_target;
    std::string m_confirmed;
    // The known instances that were called last and queried last.
    std::string m_lastCalled;
    std::string m_lastQueried;
    std::optional<Milliseconds> m_lastQueryAt;
};

} // namespace oleanderport
