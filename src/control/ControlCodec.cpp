#include "control/ControlCodec.h"

#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr int codecVersion = 1;

    using Change = decltype(ControlCommand::change);

    // Name of each kind of change in the log.
    template <typename T>
    constexpr const char* kindOf = nullptr;
    template <>
    constexpr const char* kindOf<OpenSessionRequest> = "openSession";
    template <>
    constexpr const char* kindOf<CloseSession> = "closeSession";
    template <>
    constexpr const char* kindOf<ClaimRequest> = "claim";
    template <>
    constexpr const char* kindOf<EndJobRequest> = "endJob";
    template <>
    constexpr const char* kindOf<DataCentreChange> = "dataCentre";
    template <>
    constexpr const char* kindOf<PublishCatalogue> = "catalogue";
    template <>
    constexpr const char* kindOf<AcceptDocument> = "document";
    template <>
    constexpr const char* kindOf<PromoteDocument> = "promote";

    Error decodeError(std::string message)
    {
        return Error { .code = ErrorCode::Storage,
            .ran = Ran::Unknown,
            .step = "control.decode",
            .peer = {},
            .message = std::move(message) };
    }

    Result<Json::Value> parseVersioned(const std::string& text)
    {
        auto value = parseJson(text);
        if (!value.has_value())
            return decodeError(value.assume_error().message);
        const Json::Value& object = value.assume_value();
        if (!object.isObject() || !object["version"].isInt())
            return decodeError("expected an object with an integer \"version\"");
        if (object["version"].asInt() != codecVersion) {
            return decodeError(
                fmt::format("unsupported version {}; this program reads version {}", object["version"].asInt(), codecVersion));
        }
        return value;
    }

    template <typename T>
    Result<T> decodePart(const Json::Value& value)
    {
        auto part = fromJson<T>(value);
        if (!part.has_value())
            return decodeError(part.assume_error().message);
        return part;
    }

    template <std::size_t... indices>
    bool isKnownKind(const std::string& kind, std::index_sequence<indices...>)
    {
        return ((kind == kindOf<std::variant_alternative_t<indices, Change>>) || ...);
    }

    // Decodes the alternative of the variant that is named `kind`.
    template <std::size_t index = 0>
    Result<Change> decodeChange(const std::string& kind, const Json::Value& value)
    {
        if constexpr (index == std::variant_size_v<Change>) {
            return decodeError(fmt::format("unknown kind of change '{}'", kind));
        } else {
            using Alternative = std::variant_alternative_t<index, Change>;
            if (kind != kindOf<Alternative>)
                return decodeChange<index + 1>(kind, value);
            BOOST_OUTCOME_TRY(auto change, decodePart<Alternative>(value));
            return Change(std::move(change));
        }
    }

    // Checks invariants that later commands rely on and that the field types don't enforce.
    Result<void> checkContent(const ControlContent& content)
    {
        for (const char* name : { productionEnvironment, trialEnvironment }) {
            const auto named = [name](const EnvironmentRecord& environment) { return environment.name == name; };
            if (std::count_if(content.environments.begin(), content.environments.end(), named) != 1)
                return decodeError(fmt::format("expected exactly one environment '{}'", name));
        }
        for (const auto& environment : content.environments) {
            for (const auto& member : environment.view.members) {
                if (member.node.environment != environment.name)
                    return decodeError(fmt::format("member {} of environment '{}' names environment '{}'", member.id.instance, member.node.environment, environment.name));
            }
        }
        return boost::outcome_v2::success();
    }

} // namespace

std::string encodeCommand(const ControlCommand& command)
{
    Json::Value value(Json::objectValue);
    value["version"] = codecVersion;
    value["stampUnix"] = static_cast<Json::Int64>(command.stampUnix.count);
    std::visit(
        [&value]<typename T>(const T& change) {
            value["kind"] = kindOf<T>;
            value["change"] = toJson(change);
        },
        command.change);
    return writeJson(value);
}

Result<ControlCommand> decodeCommand(const std::string& text)
{
    BOOST_OUTCOME_TRY(const auto value, parseVersioned(text));
    if (!value["stampUnix"].isInt64() || !value["kind"].isString())
        return decodeError("expected an integer \"stampUnix\" and a string \"kind\"");
    BOOST_OUTCOME_TRY(auto change, decodeChange(value["kind"].asString(), value["change"]));
    return ControlCommand { .stampUnix = { value["stampUnix"].asInt64() }, .change = std::move(change) };
}

Result<std::string> encodeForLog(const ControlCommand& command)
{
    std::string text = encodeCommand(command);
    const auto read = decodeCommand(text);
    if (!read.has_value()) {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "control.propose",
            .peer = {},
            .message = "the change can't be stored: " + read.assume_error().message };
    }
    return text;
}

bool isFromNewerProgram(const std::string& text)
{
    const auto value = parseJson(text);
    if (!value.has_value() || !value.assume_value().isObject())
        return false;
    const Json::Value& version = value.assume_value()["version"];
    const Json::Value& kind = value.assume_value()["kind"];
    if (!version.isInt() || version.asInt() != codecVersion)
        return version.isIntegral();
    return kind.isString() && !isKnownKind(kind.asString(), std::make_index_sequence<std::variant_size_v<Change>>());
}

std::string encodeState(const ControlState& state)
{
    Json::Value value(Json::objectValue);
    value["version"] = codecVersion;
    value["state"] = toJson(state.content());
    return writeJson(value);
}

Result<ControlState> decodeState(const std::string& text, const ControlStateOptions& options)
{
    BOOST_OUTCOME_TRY(const auto value, parseVersioned(text));
    BOOST_OUTCOME_TRY(const auto content, decodePart<ControlContent>(value["state"]));
    BOOST_OUTCOME_TRYV(checkContent(content));
    return ControlState(options, content);
}

} // namespace oleanderport
