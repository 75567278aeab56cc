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
