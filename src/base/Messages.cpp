#include "oleanderport/Messages.h"

#include "oleanderport/NameTable.h"

namespace oleanderport {

namespace {

    constexpr NameTable<Role, 3> roleNames { {
        { Role::Entry, "entry" },
        { Role::Sidecar, "sidecar" },
        { Role::Control, "control" },
    } };

    constexpr NameTable<TaskOutcome, 5> taskOutcomeNames { {
        { TaskOutcome::Done, "done" },
        { TaskOutcome::Failed, "failed" },
        { TaskOutcome::NotStarted, "not_started" },
        { TaskOutcome::Unknown, "unknown" },
        { TaskOutcome::Running, "running" },
    } };

    constexpr NameTable<Channel, 2> channelNames { {
        { Channel::Poll, "poll" },
        { Channel::Report, "report" },
    } };

    constexpr NameTable<JobState, 3> jobStateNames { {
        { JobState::Running, "running" },
        { JobState::Complete, "complete" },
        { JobState::Failed, "failed" },
    } };

} // namespace

std::string_view roleName(Role role) { return nameIn(roleNames, role); }
std::optional<Role> roleFromName(std::string_view name) { return valueIn(roleNames, name); }

std::string_view taskOutcomeName(TaskOutcome outcome) { return nameIn(taskOutcomeNames, outcome); }
std::optional<TaskOutcome> taskOutcomeFromName(std::string_view name) { return valueIn(taskOutcomeNames, name); }

std::string_view channelName(Channel channel) { return nameIn(channelNames, channel); }
std::optional<Channel> channelFromName(std::string_view name) { return valueIn(channelNames, name); }

std::string_view jobStateName(JobState state) { return nameIn(jobStateNames, state); }
std::optional<JobState> jobStateFromName(std::string_view name) { return valueIn(jobStateNames, name); }

} // namespace oleanderport
