#include "OperatorBackend.h"
#include "../../Transport/WallClock.h"

#include <chrono>
#include <utility>

namespace Apricothead {
namespace {

/** Operators accept a longer wait than callers. */
constexpr std::chrono::milliseconds OperatorTimeout{8000};
/** A new replica has to catch up with the log before it replaces another. */
constexpr std::chrono::milliseconds ReplacementTimeout{60000};

} // namespace

OperatorBackend operatorBackend(ReplicaClient &client)
{
    OperatorBackend backend;
    backend.propose = [&client](Wire::Command command, std::function<void(const ProposeOutcome &)> done) {
        client.propose(std::move(command), OperatorTimeout, std::move(done));
    };
    backend.query = [&client](Wire::Query query, std::function<void(const Wire::QueryReply &)> done) {
        client.query(std::move(query), OperatorTimeout, std::move(done));
    };
    backend.changeMembers = [&client](Wire::ChangeMembers change, std::function<void(const Wire::ChangeMembersReply &)> done) {
        client.changeMembers(std::move(change), ReplacementTimeout, std::move(done));
    };
    backend.endpoints = [&client] {
        return client.endpoints();
    };
    backend.metrics = [] {
        return std::string();
    };
    backend.organisationMetrics = [] {
        return std::vector<OrganisationMetrics>();
    };
    backend.nowMs = wallClockMs;
    return backend;
}

} // namespace Apricothead
