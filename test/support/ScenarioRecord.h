#pragma once

#include "support/ScenarioDeployment.h"

#include <jsoncpp/json/json.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

// One start as recorded by a fake minion.
struct RecordedStart {
    std::string minion;
    std::string caller;
    std::string job;
    std::int64_t task { 0 };
    std::int64_t attempt { 0 };
};

// Outcome of a caller's request: an HTTP answer, or none because the connection was lost.
struct RecordedAnswer {
    std::string key;
    // Results that the job must have when it is complete.
    std::vector<std::string> expected;
    bool arrived { false };
    int status { 0 };
    Json::Value body;
    std::string transportError;
};

// Data that a scenario's conditions are checked against: the starts recorded by the minions, the events of all
// incarnations of all processes, the answers to callers and the exit codes.
class ScenarioRecord {
public:
    explicit ScenarioRecord(ScenarioDeployment&);

    // Fetches new events from every running process.
    void collectEvents();

    // Returns nothing when the condition holds, otherwise the expected and the actual state. The table's keys name the
    // kinds of checks: starts, event, before, nothing_starts_after_out, answer, exit, relay, view.
    std::optional<std::string> unmet(const toml::table& condition);

    // Checks that hold in every scenario: no task started twice, no job was answered with two outcomes, no
    // failed job has results, and a complete job has exactly the results of its tasks.
    void checkAlways();

    // Exempts the job from the check against repeated starts: its tasks may be retried after an unknown outcome.
    void allowRepeats(const std::string& job) { m_repeatable.insert(job); }

    std::shared_ptr<RecordedAnswer> addAnswer(const std::string& name);
    std::vector<RecordedStart> starts() const;
    // The last events, starts and answers as text, for a failure's message.
    std::string context() const;

private:
    std::optional<std::string> unmetStarts(const toml::table&) const;
    std::optional<std::string> unmetEvent(const toml::table&) const;
    std::optional<std::string> unmetBefore(const toml::table&) const;
    std::optional<std::string> unmetAfterOut(const toml::table&) const;
    std::optional<std::string> unmetAnswer(const toml::table&) const;
    std::optional<std::string> unmetExit(const toml::table&);
    std::optional<std::string> unmetRelay(const toml::table&);
    std::optional<std::string> unmetView(const toml::table&);
    std::vector<Json::Value> eventsLike(const toml::table&) const;

    ScenarioDeployment& m_deployment;
    std::vector<Json::Value> m_events;
    std::map<pid_t, std::uint64_t> m_lastSequence;
    std::map<std::string, std::shared_ptr<RecordedAnswer>> m_answers;
    std::set<std::string> m_repeatable;
};

} // namespace oleanderport
