#include "support/ScenarioRandom.h"

#include "support/RandomDraw.h"

#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

namespace oleanderport {

namespace {

    constexpr int entries = 3;
    constexpr int sidecars = 3;
    constexpr int rounds = 14;

    class Schedule {
    public:
        explicit Schedule(std::uint64_t seed)
            : m_random(seed)
        {
        }

        toml::table make()
        {
            for (int round = 0; round < rounds; ++round) {
                drawSubmission();
                drawFault();
                add(toml::table { { "do", "pass" }, { "ms", 100 + draw(700) } });
            }
            repair();
            return toml::table { { "deployment",
                                     toml::table { { "entries", entries }, { "sidecars", sidecars }, { "slots", 3 },
                                         { "settings",
                                             toml::table { { "shutdown", toml::table { { "grace_ms", 8'000 } } } } } } },
                { "relay", relays() }, { "step", m_steps } };
        }

    private:
        std::int64_t draw(std::int64_t below) { return m_random.below(below); }

        std::string drawName(const char* role, int count) { return fmt::format("{}-{}", role, 1 + draw(count)); }

        void add(toml::table step) { m_steps.push_back(std::move(step)); }

        static toml::array relays()
        {
            toml::array list;
            for (const char* to : { "entry-1", "entry-2", "sidecar-1" })
                list.push_back(toml::table { { "name", fmt::format("to-{}", to) }, { "to", to }, { "advertised", true } });
            for (const char* user : { "entry-2", "sidecar-2" }) {
                list.push_back(toml::table { { "name", fmt::format("{}-to-control", user) }, { "to", "control-1" },
                    { "used_by", toml::array { user } } });
            }
            return list;
        }

        void drawSubmission()
        {
            const std::string answer = fmt::format("answer-{}", ++m_answers);
            const std::string entry = drawName("entry", entries);
            if (!m_jobs.empty() && draw(3) == 0) {
                const std::string same = m_jobs[static_cast<std::size_t>(draw(static_cast<std::int64_t>(m_jobs.size())))];
                return add(toml::table { { "do", "submit" }, { "answer", answer }, { "entry", entry }, { "same_as", same } });
            }
            m_jobs.push_back(answer);
            add(toml::table { { "do", "submit" }, { "answer", answer }, { "entry", entry }, { "tasks", 1 + draw(20) },
                { "sleep_ms", 20 + draw(600) } });
        }

        void drawFault()
        {
            const std::string name = draw(3) == 0 ? drawName("entry", entries)
                : draw(2) == 0                    ? drawName("sidecar", sidecars)
                                                  : drawName("minion", sidecars);
            switch (draw(6)) {
            case 0:
                return killOrStart(name);
            case 1:
                return freezeOrResume(name);
            case 2:
            case 3:
                return drawRelayFault();
            default:
                return;
            }
        }

        void killOrStart(const std::string& name)
        {
            const bool isDead = m_dead.erase(name) > 0;
            if (!isDead) {
                m_dead.insert(name);
                m_frozen.erase(name);
            }
            add(toml::table { { "do", isDead ? "start" : "kill" }, { "process", name } });
        }

        void freezeOrResume(const std::string& name)
        {
            if (m_dead.contains(name))
                return;
            const bool isFrozen = m_frozen.erase(name) > 0;
            if (!isFrozen)
                m_frozen.insert(name);
            add(toml::table { { "do", isFrozen ? "resume" : "freeze" }, { "process", name } });
        }

        void drawRelayFault()
        {
            const std::vector<std::string> names { "to-entry-1", "to-entry-2", "to-sidecar-1", "entry-2-to-control",
                "sidecar-2-to-control" };
            toml::table step { { "do", "fault" },
                { "relay", names[static_cast<std::size_t>(draw(static_cast<std::int64_t>(names.size())))] } };
            switch (draw(6)) {
            case 0:
                step.insert("drop_requests", true);
                break;
            case 1:
                step.insert("drop_answers", true);
                break;
            case 2:
                step.insert("refuse", true);
                break;
            case 3:
                step.insert("delay_ms", 20 + draw(300));
                break;
            case 4:
                step.insert("swallow_answers", 1 + draw(5));
                break;
            default:
                // Ends the fault.
                break;
            }
            add(std::move(step));
        }

        void repair()
        {
            for (const auto& relay : relays())
                add(toml::table { { "do", "fault" }, { "relay", *relay.as_table()->get("name")->value<std::string>() } });
            for (const auto& name : m_frozen)
                add(toml::table { { "do", "resume" }, { "process", name } });
            for (const auto& name : m_dead)
                add(toml::table { { "do", "start" }, { "process", name } });
            for (const auto& job : m_jobs) {
                add(toml::table { { "do", "settle" }, { "answer", "final-" + job }, { "entry", drawName("entry", entries) },
                    { "same_as", job } });
            }
        }

        RandomDraw m_random;
        toml::array m_steps;
        std::vector<std::string> m_jobs;
        std::set<std::string> m_dead;
        std::set<std::string> m_frozen;
        int m_answers { 0 };
    };

} // namespace

toml::table randomScenario(std::uint64_t seed) { return Schedule(seed).make(); }

} // namespace oleanderport
