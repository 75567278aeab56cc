#pragma once

#include "wire/DispatchMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderport {

// The instance of an incarnation, with whose name that of the incarnation begins.
std::string_view instanceOf(std::string_view incarnation);

struct GrantTableOptions {
    // A connected entry that was not heard for this long may be lost. Exceeds the longest time between its echoes.
    Milliseconds entryLateAfter { 400 };
    // A lost entry holds its jobs for this long, and a table that has just started grants jobs provisionally for as long at most: runs of a
    // lost entry may go on.
    Milliseconds holdAfterLoss { maxLostEntryRunTime };
};

// The grants of an entry that was not heard any more, taken from it.
struct FreedGrants {
    std::string entry;
    std::size_t jobs { 0 };
    // Those that another entry waited for.
    std::size_t waitedFor { 0 };
    // Since its stream closed; empty if it was silent on an open one.
    std::optional<Milliseconds> closedFor;
    Milliseconds silentFor {};
};

// One line for the log.
std::string describe(const FreedGrants&);

// What an entry says of itself with the first frame of a stream.
struct EntryIntroduction {
    // Entries of the deployment; 0 when not known.
    std::uint64_t entries { 0 };
    Milliseconds startedFor {};
};

// The jobs that one sidecar has granted as a registrar: each to one entry at a time, until that entry releases it or, after its loss, its
// runs must be over. Of the entries that ask, one at most has the grants of most registrars of a job.
class GrantTable {
public:
    GrantTable(GrantTableOptions, Milliseconds now);

    // A new stream of the entry, whose first frame names all jobs that it holds or asks for. Those that it doesn't name are released.
    void opened(const std::string& entry, const std::vector<GrantRequest>&, Milliseconds now, const EntryIntroduction& = {});
    void closed(const std::string& entry, Milliseconds now);
    // A frame of the entry has arrived.
    void heard(const std::string& entry, Milliseconds now);
    void take(const std::string& entry, const GrantRequest&, Milliseconds now);

    // Grants the jobs that have become free to those who wait for them.
    void act(Milliseconds now);
    // When act() may change an answer; empty while it may not.
    std::optional<Milliseconds> nextDue(Milliseconds now) const;

    bool holdsAny(const std::string& entry) const;
    bool hasAnswers(const std::string& entry) const { return m_answers.contains(entry); }
    // Returns the answers to the entry since the last call.
    std::vector<GrantAnswer> takeAnswers(const std::string& entry);
    // Returns the grants that were taken from lost entries since the last call.
    std::vector<FreedGrants> takeFreed() { return std::exchange(m_freed, {}); }

private:
    struct Waiter {
        std::string entry;
        std::uint64_t number { 0 };
    };
    struct Grant {
        // Empty while nobody holds the job.
        std::string holder;
        // Granted while a former holder may be unknown; its renewal prevails.
        bool isProvisional { false };
        // Of the holder's request.
        std::uint64_t number { 0 };
        std::deque<Waiter> waiters;
    };
    struct Entry {
        Milliseconds heardAt {};
        // When its stream closed or its instance started again; empty while it is connected.
        std::optional<Milliseconds> lostAt;
        std::size_t grants { 0 };
        EntryIntroduction introduction;
        Milliseconds startedAt {};
    };

    // When its grants are no longer provisional.
    Milliseconds authoritativeAt() const;
    // Until when the entry holds its jobs unless it is heard again.
    Milliseconds holdsUntil(const Entry&) const;
    void answer(const std::string& entry, const std::string& job, std::uint64_t number, GrantState);
    static GrantState stateOf(const Grant& grant) { return grant.isProvisional ? GrantState::Provisional : GrantState::Granted; }
    void give(Grant&, const std::string& entry);
    void release(const std::string& job, Grant&);
    // Takes the job from an entry that holds it provisionally.
    void displace(const std::string& job, Grant&);
    // Grants a job that nobody holds to the first who waits for it.
    void giveToNext(const std::string& job, Grant&);
    void eraseWaiter(Grant&, const std::string& entry);

    GrantTableOptions m_options;
    Milliseconds m_startedAt;
    // Its grants are no longer provisional.
    bool m_isAuthoritative { false };
    std::size_t m_waiters { 0 };
    std::map<std::string, Grant> m_grants;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::vector<GrantAnswer>> m_answers;
    std::vector<FreedGrants> m_freed;
};

} // namespace oleanderport
