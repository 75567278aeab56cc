#include "support/ControlGroup.h"

#include "support/FreeAddress.h"

#include <fmt/format.h>

#include <filesystem>
#include <stdexcept>

#include <unistd.h>

namespace oleanderport::test {

namespace {

    constexpr Milliseconds waitLimit { 60'000 };
    constexpr Milliseconds checkPeriod { 1 };

    void require(const Result<void>& result)
    {
        if (!result.has_value())
            throw std::runtime_error(describe(result.assume_error()));
    }

} // namespace

ControlGroup::ControlGroup(std::size_t size)
    : m_instances(size)
{
    std::string name = (std::filesystem::temp_directory_path() / "control-group-XXXXXX").string();
    m_folder = mkdtemp(name.data());
    for (std::size_t i = 0; i < size; ++i)
        m_peers.push_back(freeAddress());
    for (std::size_t i = 0; i < size; ++i)
        start(i);
}

ControlGroup::~ControlGroup()
{
    m_instances.clear();
    std::filesystem::remove_all(m_folder);
}

std::string ControlGroup::folderOf(std::size_t index) const { return fmt::format("{}/{}", m_folder, index); }

void ControlGroup::start(std::size_t index)
{
    const Settings settings { .role = Role::Control,
        .instance = fmt::format("control-{}", index),
        .listen = m_peers[index],
        .advertise = m_peers[index],
        .controlPeers = m_peers,
        .dataFolder = folderOf(index),
        .bootstrap = true };
    Instance& instance = m_instances[index];
    instance.process = std::make_unique<Process>(m_loop, settings);
    instance.replicator = std::make_unique<RaftReplicator>(*instance.process, ControlStateOptions {});
    require(instance.process->listen({}));
    require(instance.replicator->start());
}

void ControlGroup::stop(std::size_t index)
{
    m_instances[index].replicator.reset();
    m_instances[index].process.reset();
}

void ControlGroup::runUntil(const std::string& expectation, const std::function<bool()>& condition)
{
    const Milliseconds deadline = Clock::now() + waitLimit;
    const auto check = m_loop.every(checkPeriod, [&] {
        if (condition() || Clock::now() >= deadline)
            m_loop.stop();
    });
    if (!condition())
        m_loop.run();
    if (!condition())
        throw std::runtime_error("expected " + expectation);
}

std::optional<std::size_t> ControlGroup::leader() const
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_instances[i].replicator && m_instances[i].replicator->isLeader())
            return i;
    }
    return std::nullopt;
}

void ControlGroup::propose(const std::string& instance, const Replicator::Done& done)
{
    OpenSessionRequest request;
    request.node.instance = instance;
    runUntil("a leader", [&] { return leader().has_value(); });
    replicator(*leader()).propose(request, done);
}

void ControlGroup::openSession(const std::string& instance)
{
    bool done = false;
    while (!done) {
        std::optional<Result<ControlOutcome>> outcome;
        propose(instance, [&](const Result<ControlOutcome>& result) { outcome = result; });
        runUntil("an outcome", [&] { return outcome.has_value(); });
        done = outcome->has_value();
    }
}

std::size_t ControlGroup::memberCount(std::size_t index) const
{
    return m_instances[index].replicator->state().view().members.size();
}

} // namespace oleanderport::test
