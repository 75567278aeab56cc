#pragma once

#include "support/ScenarioDeployment.h"

#include <jsoncpp/json/json.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

// One line of a stand-in minion's record.
struct RecordedStart {
    std::string minion;
    std::string caller;
    std::string job;
    std::int64_t task { 0 };
    std::int64_t attempt { 0 };
};

// What a caller got: an HTTP answer, or none because the connection was lost.
struct RecordedAnswer {
    std::string key;
    // Results that the job must have when it is complete.
    std::vector<std::string> expected;
    bool arrived { false };
    int status { 0 };
    Json::Value body;
    std::string transportError;
};

// Everything that a scenario can judge: the minions' own record of starts, the events of all processes over all of
// their lives, the answers to callers and the exit codes.
class ScenarioRecord {
public:
    explicit ScenarioRecord(ScenarioDeployment&);

    // Fetches new events from every process that runs.
    void collectEvents();

    // Nothing when the condition holds; otherwise what was expected and what is there. The table's keys name what is
    // judged: starts, event, before, nothing_starts_after_out, answer, exit, relay, view.
    std::optional<std::string> unmet(const toml::table& condition);

    // Checks that hold in every scenario: no task started twice, and no job answered in two ways or in part.
    void checkAlways();

    // A task of this job may start again after an unknown end.
    void allowRepeats(const std::string& job) { m_repeatable.insert(job); }

    // A job that one caller got complete may be told to a later one as failed with an unknown outcome, where its owner
    // and a sidecar are lost. The scenario answer-outlives-its-owner shows this weakness by itself.
    void allowLostAnswers() { m_answersMayBeLost = true; }

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
    bool m_answersMayBeLost { false };
};

} // namespace oleanderport
