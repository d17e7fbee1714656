#include "Commands.h"

#include <Apricothead/Coordination>
#include <Apricothead/Transport>

#include <iostream>
#include <optional>

#include <nlohmann/json.hpp>

namespace Apricothead {
namespace {

/** Runs one call to its end. */
OperatorCallResult runCall(OperatorCallOptions options)
{
    EventLoop loop;
    HttpClient client(loop);
    OperatorCallResult result;
    const OperatorCall operatorCall(loop, client, std::move(options), [&](const OperatorCallResult &ended) {
        result = ended;
        loop.stop();
    });
    loop.run();
    return result;
}

int failed(const OperatorCallResult &result)
{
    std::cerr << "apricothead: " << result.text << '\n';
    if (!result.commandId.empty()) {
        std::cerr << "try again with the same id: --command_id=" << result.commandId << '\n';
    }
    return ExitFailure;
}

} // namespace

int call(const CommandLine &line)
{
    if (line.words.empty()) {
        std::cerr << "apricothead: name a method, for instance: apricothead call GetStatus\n";
        return ExitUsage;
    }
    const OperatorCallResult result = runCall({
        .address = line.address,
        .token = line.token,
        .method = line.words.front(),
        .json = line.words.size() > 1 ? line.words[1] : std::string(),
        .commandId = line.commandId,
    });
    if (!result.succeeded) {
        return failed(result);
    }
    std::cout << result.text << '\n';
    return ExitSuccess;
}

int evacuate(const CommandLine &line)
{
    if (!line.words.empty()) {
        const nlohmann::json order{{"availabilityZone", line.words.front()}, {"end", line.end}};
        const OperatorCallResult result
            = runCall({.address = line.address, .token = line.token, .method = "SetEvacuation", .json = order.dump(), .commandId = line.commandId});
        if (!result.succeeded) {
            return failed(result);
        }
    }
    const OperatorCallResult result = runCall({.address = line.address, .token = line.token, .method = "ListEvacuations"});
    if (!result.succeeded) {
        return failed(result);
    }
    const nlohmann::json answer = nlohmann::json::parse(result.text, nullptr, false);
    for (const nlohmann::json &evacuation : answer.value("evacuations", nlohmann::json::array())) {
        std::cout << evacuation.value("availabilityZone", std::string()) << " since log entry " << evacuation.value("order", std::string()) << '\n';
    }
    return ExitSuccess;
}

int report(const CommandLine &line)
{
    const OperatorCallResult result = runCall({.address = line.address, .token = line.token, .method = "GetReport"});
    if (!result.succeeded) {
        return failed(result);
    }
    const nlohmann::json answer = nlohmann::json::parse(result.text, nullptr, false);
    std::cout << answer.value("text", result.text);
    return ExitSuccess;
}

} // namespace Apricothead
