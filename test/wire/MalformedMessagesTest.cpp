#include "support/ChangedInput.h"
#include "wire/ControlRecords.h"
#include "wire/MessageCodec.h"
#include "wire/OperatorMessages.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

SessionResponse sessionResponse()
{
    const Member member { .id = { .instance = "sidecar", .incarnation = 3 }, .node = { .role = Role::Sidecar, .instance = "sidecar", .streamAddress = "10.0.0.1:5" } };
    SessionResponse response { .session = member.id, .lease = { 3'000 }, .viewText = "{}", .catalogueText = "{}" };
    response.view = ClusterView { .version = 3, .dataCentresOut = { "dc" }, .members = { member }, .catalogue = QueueCatalogue { .version = 2 } };
    response.delta = ViewDelta { .fromVersion = 2, .version = 3, .left = { member.id }, .joined = { member } };
    return response;
}

// Reads mutated forms of the message; each one that is accepted can be written back.
template <typename Message>
void readChanged(const Message& message, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Json::Value whole = toJson(message);
    const std::string text = writeJson(whole);
    for (std::uint64_t i = 0; i < changedInputs(10'000); ++i) {
        const auto value = i % 2 == 0 ? parseJson(changedText(random, text)) : Result<Json::Value>(changedJson(random, whole));
        if (!value.has_value())
            continue;
        const auto read = fromJson<Message>(value.assume_value());
        if (read.has_value())
            static_cast<void>(writeJson(toJson(read.assume_value())));
    }
}

} // namespace

Test(MalformedMessages, areReadOrRefused)
{
    readChanged(sessionResponse(), 1);
    readChanged(OpenSessionRequest { .node = { .role = Role::Entry, .instance = "entry", .dataCentre = "dc", .rack = "r", .service = "s" } }, 2);
    readChanged(HeartbeatRequest { .session = { .instance = "entry", .incarnation = 4 }, .viewVersion = 5, .configDigest = "d" }, 3);
    readChanged(ClaimRequest { .entry = { .instance = "entry", .incarnation = 1 }, .key = { .caller = "a", .job = "j" }, .digest = "d" }, 4);
    readChanged(ControlContent {}, 5);
    readChanged(JobSpec {}, 6);
    readChanged(ExchangeRequest {}, 7);
    readChanged(ExchangeResponse {}, 8);
    readChanged(ControlStatus {}, 9);
}

Test(MalformedMessages, errorsOfPeersAreReadWhateverTheyHold)
{
    std::mt19937_64 random(10);
    const Json::Value whole = errorToJson({ .code = ErrorCode::Overloaded, .ran = Ran::No, .step = "step", .peer = "peer", .message = "message", .retryAfter = { 5 } });
    for (std::uint64_t i = 0; i < changedInputs(20'000); ++i)
        static_cast<void>(errorToJson(errorFromJson(changedJson(random, whole), "peer")));
}
