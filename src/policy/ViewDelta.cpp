#include "policy/ViewDelta.h"

#include <algorithm>
#include <set>

namespace oleanderport {

namespace {

    // Net effect of consecutive view changes.
    struct NetChange {
        std::set<SessionId> joined;
        std::set<SessionId> left;
        bool dataCentres { false };
        bool catalogue { false };
    };

    void addChange(NetChange& net, const ViewChange& change)
    {
        switch (change.kind) {
        case ViewChangeKind::MemberJoined:
            net.joined.insert(change.member);
            break;
        case ViewChangeKind::MemberLeft:
            // A member that joined and left in between was never known to the process.
            if (net.joined.erase(change.member) == 0)
                net.left.insert(change.member);
            break;
        case ViewChangeKind::DataCentres:
            net.dataCentres = true;
            break;
        case ViewChangeKind::Catalogue:
            net.catalogue = true;
            break;
        case ViewChangeKind::Config:
            break;
        }
    }

} // namespace

std::optional<ViewDelta> viewDelta(const EnvironmentRecord& environment, const KnownView& known, ViewPart part)
{
    const ClusterView& view = environment.view;
    const auto& changes = environment.viewChanges;
    // A process without any view needs the whole view, whatever is kept.
    if (known.version == 0 || known.version > view.version)
        return std::nullopt;
    const bool kept = known.version == view.version || (!changes.empty() && changes.front().version <= known.version + 1);
    if (!kept)
        return std::nullopt;
    NetChange net;
    for (const auto& change : changes) {
        if (change.version > known.version)
            addChange(net, change);
    }
    ViewDelta delta { .fromVersion = known.version, .version = view.version };
    if (net.dataCentres)
        delta.dataCentresOut = view.dataCentresOut;
    if (part == ViewPart::DataCentresOut)
        return delta;
    if (view.config.version != known.configVersion || view.config.digest != known.configDigest)
        delta.config = view.config;
    if (net.catalogue)
        delta.catalogue = view.catalogue;
    delta.left.assign(net.left.begin(), net.left.end());
    for (const auto& member : view.members) {
        if (net.joined.contains(member.id))
            delta.joined.push_back(member);
    }
    return delta;
}

bool applyDelta(ClusterView& view, const ViewDelta& delta)
{
    if (view.version != delta.fromVersion)
        return false;
    view.version = delta.version;
    if (delta.config)
        view.config = *delta.config;
    if (delta.dataCentresOut)
        view.dataCentresOut = *delta.dataCentresOut;
    if (delta.catalogue)
        view.catalogue = delta.catalogue;
    const std::set<SessionId> left(delta.left.begin(), delta.left.end());
    std::erase_if(view.members, [&left](const Member& member) { return left.contains(member.id); });
    view.members.insert(view.members.end(), delta.joined.begin(), delta.joined.end());
    return true;
}

} // namespace oleanderport
