#include "wire/ControlRecords.h"

#include "oleanderport/NameTable.h"

namespace oleanderport {

namespace {

    constexpr NameTable<ViewChangeKind, 5> viewChangeKindNames { {
        { ViewChangeKind::MemberJoined, "member_joined" },
        { ViewChangeKind::MemberLeft, "member_left" },
        { ViewChangeKind::Config, "config" },
        { ViewChangeKind::DataCentres, "data_centres" },
        { ViewChangeKind::Catalogue, "catalogue" },
    } };

} // namespace

std::string_view viewChangeKindName(ViewChangeKind kind) { return nameIn(viewChangeKindNames, kind); }

std::optional<ViewChangeKind> viewChangeKindFromName(std::string_view name)
{
    return valueIn(viewChangeKindNames, name);
}

} // namespace oleanderport
