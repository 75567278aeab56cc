#include "control/RaftCodec.h"

#include "oleanderport/NameTable.h"

namespace oleanderport {

namespace {

    constexpr NameTable<RaftEntryKind, 3> entryKindNames { {
        { RaftEntryKind::Empty, "empty" },
        { RaftEntryKind::Command, "command" },
        { RaftEntryKind::Configuration, "configuration" },
    } };

    constexpr NameTable<RaftMessageKind, 11> messageKindNames { {
        { RaftMessageKind::PreVote, "pre_vote" },
        { RaftMessageKind::PreVoteReply, "pre_vote_reply" },
        { RaftMessageKind::Vote, "vote" },
        { RaftMessageKind::VoteReply, "vote_reply" },
        { RaftMessageKind::Append, "append" },
        { RaftMessageKind::AppendReply, "append_reply" },
        { RaftMessageKind::Snapshot, "snapshot" },
        { RaftMessageKind::SnapshotReply, "snapshot_reply" },
        { RaftMessageKind::Hello, "hello" },
        { RaftMessageKind::HelloReply, "hello_reply" },
        { RaftMessageKind::Stale, "stale" },
    } };

    Json::UInt64 number(std::uint64_t value) { return value; }

    // Fields with their default value are omitted to keep the frequent heartbeats small.
    void putNumber(Json::Value& value, const char* name, std::uint64_t field)
    {
        if (field != 0)
            value[name] = number(field);
    }

    void putFlag(Json::Value& value, const char* name, bool field)
    {
        if (field)
            value[name] = true;
    }

    template <typename Enum, std::size_t size>
    Enum kindFrom(const Json::Value& value, const NameTable<Enum, size>& names)
    {
        const auto kind = valueIn(names, value.asString());
        if (!kind)
            throw Json::LogicError("unknown kind " + value.asString());
        return *kind;
    }

    Json::Value memberToJson(const RaftMember& member)
    {
        Json::Value value;
        value["address"] = member.address;
        value["incarnation"] = member.incarnation;
        if (!member.dataCentre.empty())
            value["dataCentre"] = member.dataCentre;
        return value;
    }

    RaftMember memberFrom(const Json::Value& value)
    {
        return { .address = value["address"].asString(),
            .incarnation = value["incarnation"].asString(),
            .dataCentre = value["dataCentre"].asString() };
    }

    Json::Value votersToJson(const std::vector<RaftMember>& voters)
    {
        Json::Value value(Json::arrayValue);
        for (const auto& voter : voters)
            value.append(memberToJson(voter));
        return value;
    }

    std::vector<RaftMember> votersFrom(const Json::Value& value)
    {
        std::vector<RaftMember> voters;
        for (const auto& voter : value)
            voters.push_back(memberFrom(voter));
        return voters;
    }

    std::vector<RaftEntry> entriesFrom(const Json::Value& value)
    {
        std::vector<RaftEntry> entries;
        for (const auto& item : value) {
            entries.push_back({ .index = item["index"].asUInt64(),
                .term = item["term"].asUInt64(),
                .kind = kindFrom(item["kind"], entryKindNames),
                .data = item["data"].asString(),
                .voters = votersFrom(item["voters"]) });
        }
        return entries;
    }

    Json::Value evidenceToJson(const std::vector<RaftEvidence>& evidence)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& seen : evidence) {
            Json::Value value;
            value["incarnation"] = seen.incarnation;
            value["boot"] = number(seen.boot);
            value["life"] = number(seen.startNonce);
            value["term"] = number(seen.term);
            value["index"] = number(seen.index);
            list.append(std::move(value));
        }
        return list;
    }

    std::vector<RaftEvidence> evidenceFrom(const Json::Value& list)
    {
        std::vector<RaftEvidence> evidence;
        for (const auto& value : list) {
            evidence.push_back({ .incarnation = value["incarnation"].asString(),
                .boot = value["boot"].asUInt64(),
                .startNonce = value["life"].asUInt64(),
                .term = value["term"].asUInt64(),
                .index = value["index"].asUInt64() });
        }
        return evidence;
    }

    RaftMessage messageFrom(const Json::Value& value)
    {
        RaftMessage message;
        message.kind = kindFrom(value["kind"], messageKindNames);
        message.to = value["to"].asString();
        message.from = memberFrom(value["from"]);
        message.boot = value["boot"].asUInt64();
        message.startNonce = value["life"].asUInt64();
        message.bootTerm = value["bootTerm"].asUInt64();
        message.bootIndex = value["bootIndex"].asUInt64();
        message.verified = value["verified"].asBool();
        message.term = value["term"].asUInt64();
        message.index = value["index"].asUInt64();
        message.logTerm = value["logTerm"].asUInt64();
        message.commit = value["commit"].asUInt64();
        message.synced = value["synced"].asUInt64();
        message.granted = value["granted"].asBool();
        message.empty = value["empty"].asBool();
        message.leads = value["leads"].asBool();
        message.sentAt = { value["sentAt"].asInt64() };
        message.entries = entriesFrom(value["entries"]);
        message.voters = votersFrom(value["voters"]);
        message.data = value["data"].asString();
        message.offset = value["offset"].asUInt64();
        message.last = value["last"].asBool();
        message.evidence = evidenceFrom(value["evidence"]);
        return message;
    }

    // jsoncpp throws an exception on a wrong type and reads a missing field as the default value of the type.
    template <typename T>
    Result<T> catchJsonErrors(const Json::Value& value, T (*read)(const Json::Value&))
    {
        try {
            return read(value);
        } catch (const Json::Exception& exception) {
            return Error { .code = ErrorCode::BadRequest,
                .ran = Ran::No,
                .step = "control.decode",
                .peer = {},
                .message = exception.what() };
        }
    }

    RaftSnapshot snapshotFrom(const Json::Value& value)
    {
        return { .index = value["index"].asUInt64(),
            .term = value["term"].asUInt64(),
            .voters = votersFrom(value["voters"]),
            .data = value["data"].asString() };
    }

} // namespace

Json::Value entriesToJson(const std::vector<RaftEntry>& entries)
{
    Json::Value list(Json::arrayValue);
    for (const auto& entry : entries) {
        Json::Value value;
        value["index"] = number(entry.index);
        value["term"] = number(entry.term);
        value["kind"] = std::string(nameIn(entryKindNames, entry.kind));
        if (!entry.data.empty())
            value["data"] = entry.data;
        if (!entry.voters.empty())
            value["voters"] = votersToJson(entry.voters);
        list.append(std::move(value));
    }
    return list;
}

Result<std::vector<RaftEntry>> entriesFromJson(const Json::Value& value) { return catchJsonErrors(value, &entriesFrom); }

Json::Value snapshotToJson(const RaftSnapshot& snapshot)
{
    Json::Value value;
    value["index"] = number(snapshot.index);
    value["term"] = number(snapshot.term);
    value["voters"] = votersToJson(snapshot.voters);
    value["data"] = snapshot.data;
    return value;
}

Result<RaftSnapshot> snapshotFromJson(const Json::Value& value) { return catchJsonErrors(value, &snapshotFrom); }

Json::Value raftMessageToJson(const RaftMessage& message)
{
    Json::Value value;
    value["kind"] = std::string(nameIn(messageKindNames, message.kind));
    value["to"] = message.to;
    value["from"] = memberToJson(message.from);
    putNumber(value, "boot", message.boot);
    putNumber(value, "life", message.startNonce);
    putNumber(value, "bootTerm", message.bootTerm);
    putNumber(value, "bootIndex", message.bootIndex);
    putNumber(value, "term", message.term);
    putNumber(value, "index", message.index);
    putNumber(value, "logTerm", message.logTerm);
    putNumber(value, "commit", message.commit);
    putNumber(value, "synced", message.synced);
    putNumber(value, "offset", message.offset);
    putFlag(value, "verified", message.verified);
    putFlag(value, "granted", message.granted);
    putFlag(value, "empty", message.empty);
    putFlag(value, "leads", message.leads);
    putFlag(value, "last", message.last);
    value["sentAt"] = static_cast<Json::Int64>(message.sentAt.count);
    if (!message.entries.empty())
        value["entries"] = entriesToJson(message.entries);
    if (!message.voters.empty())
        value["voters"] = votersToJson(message.voters);
    if (!message.data.empty())
        value["data"] = message.data;
    if (!message.evidence.empty())
        value["evidence"] = evidenceToJson(message.evidence);
    return value;
}

Result<RaftMessage> raftMessageFromJson(const Json::Value& value) { return catchJsonErrors(value, &messageFrom); }

} // namespace oleanderport
