#pragma once

#include "control/RaftReplicator.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport::test {

// Control instances of one group in this process, on one loop, with real connections and data folders.
class ControlGroup {
public:
    // Throws std::runtime_error when an instance cannot start.
    explicit ControlGroup(std::size_t size);
    ~ControlGroup();

    void start(std::size_t);
    void stop(std::size_t);
    std::string folderOf(std::size_t) const;

    // Runs the loop until the condition holds; throws std::runtime_error when it does not in time.
    void runUntil(const std::string& expectation, const std::function<bool()>& condition);

    std::optional<std::size_t> leader() const;
    RaftReplicator& replicator(std::size_t index) { return *m_instances[index].replicator; }
    // Proposes at once at the leader that there is.
    void propose(const std::string& instance, const Replicator::Done&);
    // Opens a session, at another leader if one is lost meanwhile.
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
