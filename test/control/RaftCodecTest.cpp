#include "control/RaftCodec.h"

#include "wire/MessageCodec.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

RaftMessage wholeMessage()
{
    RaftMessage message { .kind = RaftMessageKind::SnapshotReply, .to = "b", .from = { "a", "ia" } };
    message.boot = 1;
    message.startNonce = UINT64_MAX;
    message.bootTerm = 2;
    message.bootIndex = 3;
    message.verified = message.granted = message.empty = message.last = true;
    message.term = 4;
    message.index = 5;
    message.logTerm = 6;
    message.commit = 7;
    message.synced = 8;
    message.sentAt = { 9 };
    message.entries.push_back(
        { .index = 10, .term = 11, .kind = RaftEntryKind::Configuration, .data = "\"d\xc3\xa9\n", .voters = { { "v", "iv" } } });
    message.voters = { { "w", "iw" } };
    message.data = "data";
    message.offset = 12;
    message.evidence = { { .incarnation = "ie", .boot = 13, .startNonce = 14, .term = 15, .index = 16 } };
    return message;
}

} // namespace

Test(RaftCodec, readsBackWhatItWrote)
{
    for (const auto& message : { wholeMessage(), RaftMessage {} }) {
        const std::string text = writeJson(raftMessageToJson(message));
        const auto read = raftMessageFromJson(parseJson(text).assume_value());
        cr_assert(read.has_value());
        const std::string again = writeJson(raftMessageToJson(read.assume_value()));
        cr_assert(again == text, "expected %s, got %s", text.c_str(), again.c_str());
        cr_assert(read.assume_value().kind == message.kind && read.assume_value().startNonce == message.startNonce);
    }
}

Test(RaftCodec, refusesWhatIsNoMessage)
{
    cr_assert(!raftMessageFromJson(Json::Value(1)).has_value(), "expected an error for a number");
    for (const char* text : { "[]", "{}", R"({"kind":"append","term":-1})", R"({"kind":"other"})",
             R"({"kind":"append","entries":[{"kind":"x"}]})", R"({"kind":"append","from":3})" }) {
        const auto read = raftMessageFromJson(parseJson(text).assume_value());
        cr_assert(!read.has_value(), "expected an error for %s", text);
    }
}
