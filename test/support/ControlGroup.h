#pragma once

#include "control/RaftReplicator.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport::test {

// The control instances of one group. All run in this process on one event loop, with real connections and data folders.
class ControlGroup {
public:
    // Throws std::runtime_error if an instance cannot start.
    explicit ControlGroup(std::size_t size);
    ~ControlGroup();

    void start(std::size_t);
    void stop(std::size_t);
    std::string folderOf(std::size_t) const;

    // Runs the event loop until the condition holds. Throws std::runtime_error if it doesn't hold within 60 s.
    void runUntil(const std::string& expectation, const std::function<bool()>& condition);

    std::optional<std::size_t> leader() const;
    RaftReplicator& replicator(std::size_t index) { return *m_instances[index].replicator; }
    // Waits for a leader and proposes there.
    void propose(const std::string& instance, const Replicator::Done&);
    // Opens a session; tries again if the leader is lost meanwhile.
    void openSession(const std::string& instance);
    std::size_t memberCount(std::size_t) const;

private:
    struct Instance {
        std::unique_ptr<Process> process;
        std::unique_ptr<RaftReplicator> replicator;
    };

    EventLoop m_loop;
    std::string m_folder;
    std::vector<std::string> m_peers;
    std::vector<Instance> m_instances;
};

} // namespace oleanderport::test
