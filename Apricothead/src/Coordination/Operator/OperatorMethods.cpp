#include "OperatorMethods.h"

#include "../../Decisions/PartQuarantine.h"
#include "../../Protocol/KeyHash.h"
#include "../../State/ConfigurationLookup.h"
#include "../../State/Ledger.h"
#include "../Shared/ServingOrder.h"
#include "OperatorChangeCall.h"
#include "Report.h"

#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Apricothead {
namespace {

using Backend = std::shared_ptr<OperatorBackend>;

/** \returns a method that parses its request and passes it to \a run, or replies with the parse error */
template <class Request, class Run>
OperatorMethod method(std::string_view name, bool needsFullRole, Run run)
{
    return {
        .name = name, .needsFullRole = needsFullRole, .run = [run](const Backend &backend, const OperatorRequest &call, const OperatorReplyCallback &callback) {
            Request request;
            const auto read = readMessage(call.encoding, call.body, request);
            if (read.has_error()) {
                callback(connectError(read.error()));
                return;
            }
            run(backend, call, request, callback);
        }};
}

/** \returns a change call with the fields that all change requests have; build and done are left to the caller */
template <class Request>
OperatorChangeCall changeCall(std::string_view name, const OperatorRequest &call, const Request &request)
{
    OperatorChangeCall change;
    change.operatorName = call.identity.name;
    change.commandId = request.command_id();
    if (request.has_expected_revision()) {
        change.expectedRevision = request.expected_revision();
    }
    change.fingerprint = requestFingerprint(name, request);
    return change;
}

/** \returns a method whose change is built by changeOf() */
template <class Request>
OperatorMethod change(std::string_view name)
{
    return method<Request>(
        name, true, [name](const Backend &backend, const OperatorRequest &call, const Request &request, const OperatorReplyCallback &callback) {
            OperatorChangeCall change = changeCall(name, call, request);
            change.build = [request](const Wire::Configuration &configuration) {
                return changeOf(request, configuration);
            };
            change.done = [callback, encoding = call.encoding](const outcome::unchecked<std::uint64_t, Wire::Error> &outcome) {
                if (outcome.has_error()) {
                    callback(connectError(outcome.error()));
                    return;
                }
                Wire::ChangeResponse response;
                response.set_revision(outcome.value());
                callback(writeMessage(encoding, response));
            };
            submitChange(backend, std::move(change));
        });
}

/** \returns the key, derived from the operator's token and the request, so that a resent command returns the same key and no entry has to store it */
std::string deriveKey(const OperatorRequest &call, const Wire::CreateKeyRequest &request)
{
    const std::string text = "apricothead create-key " + request.SerializeAsString();
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(),
         call.identity.token.data(),
         static_cast<int>(call.identity.token.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &size);
    return "ak-" + sha256Hex({reinterpret_cast<const char *>(digest.data()), size});
}

void createKey(const Backend &backend, const OperatorRequest &call, const Wire::CreateKeyRequest &request, const OperatorReplyCallback &callback)
{
    const std::string key = deriveKey(call, request);
    const std::string hash = sha256Hex(key);
    OperatorChangeCall change = changeCall("CreateKey", call, request);
    change.build = [request, hash](const Wire::Configuration &configuration) {
        return addKey(request.organisation(), hash, configuration);
    };
    change.done = [callback, key, hash, encoding = call.encoding](const outcome::unchecked<std::uint64_t, Wire::Error> &outcome) {
        if (outcome.has_error()) {
            callback(connectError(outcome.error()));
            return;
        }
        Wire::CreateKeyResponse response;
        response.set_revision(outcome.value());
        response.set_key(key);
        response.set_key_hash(hash);
        callback(writeMessage(encoding, response));
    };
    submitChange(backend, std::move(change));
}

/** Sends \a query to the replicas and replies with the response that \a fill makes of the result. */
template <class Response, class Fill>
void runQuery(const Backend &backend, const OperatorRequest &call, const Wire::Query &query, const OperatorReplyCallback &callback, Fill fill)
{
    backend->query(query, [callback, fill, encoding = call.encoding](const Wire::QueryReply &reply) {
        if (reply.has_error()) {
            callback(connectError(reply.error()));
            return;
        }
        Response response;
        fill(reply, response);
        callback(writeMessage(encoding, response));
    });
}

Wire::Query configurationQuery()
{
    Wire::Query query;
    query.set_configuration(true);
    return query;
}

Wire::Query statusQuery()
{
    Wire::Query query;
    query.mutable_status();
    return query;
}

Wire::Query ledgerQuery(const std::string &organisation, const std::string &day)
{
    Wire::Query query;
    query.mutable_ledger()->set_organisation(organisation);
    query.mutable_ledger()->set_day(day);
    return query;
}

void getConfiguration(const Backend &backend,
                      const OperatorRequest &call,
                      const Wire::GetConfigurationRequest & /*request*/,
                      const OperatorReplyCallback &callback)
{
    runQuery<Wire::GetConfigurationResponse>(backend, call, configurationQuery(), callback, [](const Wire::QueryReply &reply, auto &response) {
        *response.mutable_configuration() = reply.configuration();
    });
}

void fillRevision(const Wire::ClusterStatus &status, Wire::GetRevisionResponse &response)
{
    response.set_revision(status.revision());
    response.set_in_force_after_ms(status.in_force_after_ms());
    for (const Wire::ProcessStatus &process : status.processes()) {
        const bool isInForce = process.revision() >= status.revision();
        (isInForce ? response.add_in_force_on() : response.add_behind_on())->assign(process.process());
    }
    response.set_in_force_everywhere(response.behind_on().empty());
}

void getRevision(const Backend &backend, const OperatorRequest &call, const Wire::GetRevisionRequest & /*request*/, const OperatorReplyCallback &callback)
{
    runQuery<Wire::GetRevisionResponse>(backend, call, statusQuery(), callback, [](const Wire::QueryReply &reply, auto &response) {
        fillRevision(reply.status(), response);
    });
}

void getStatus(const Backend &backend, const OperatorRequest &call, const Wire::GetStatusRequest & /*request*/, const OperatorReplyCallback &callback)
{
    runQuery<Wire::GetStatusResponse>(backend, call, statusQuery(), callback, [](const Wire::QueryReply &reply, auto &response) {
        *response.mutable_status() = reply.status();
    });
}

void fillEndpoints(const std::vector<Wire::EndpointStatus> &endpoints, const Wire::Configuration &configuration, Wire::ListEndpointsResponse &response)
{
    for (const Wire::EndpointStatus &endpoint : endpoints) {
        Wire::ListedEndpoint *listed = response.add_endpoints();
        *listed->mutable_endpoint() = endpoint;
        listed->set_drained(isDrained(configuration, endpoint.endpoint()));
    }
    for (const std::string &drained : configuration.drained_endpoints()) {
        const bool isAnnounced = std::any_of(endpoints.begin(), endpoints.end(), [&](const Wire::EndpointStatus &endpoint) {
            return endpoint.endpoint() == drained;
        });
        if (!isAnnounced) {
            response.add_drained_and_absent(drained);
        }
    }
}

void listEndpoints(const Backend &backend, const OperatorRequest &call, const Wire::ListEndpointsRequest & /*request*/, const OperatorReplyCallback &callback)
{
    runQuery<Wire::ListEndpointsResponse>(backend, call, configurationQuery(), callback, [backend](const Wire::QueryReply &reply, auto &response) {
        fillEndpoints(backend->endpoints(), reply.configuration(), response);
    });
}

Wire::Query servingQuery()
{
    Wire::Query query;
    query.set_serving(true);
    return query;
}

void listSuspectParts(const Backend &backend,
                      const OperatorRequest &call,
                      const Wire::ListSuspectPartsRequest & /*request*/,
                      const OperatorReplyCallback &callback)
{
    runQuery<Wire::ListSuspectPartsResponse>(backend, call, servingQuery(), callback, [](const Wire::QueryReply &reply, auto &response) {
        for (const Wire::SuspectPart &suspect : reply.serving().suspects()) {
            Wire::ListedSuspectPart &listed = *response.add_parts();
            listed.set_part(partText(suspect.part()));
            listed.set_crash_count(suspect.crash_count());
            listed.set_incidents(suspect.crashes().empty() ? 0 : suspect.crashes().rbegin()->incident());
            *listed.mutable_crashes() = suspect.crashes();
            listed.set_trials(suspect.trials());
            listed.set_trial_wait_ms(suspect.trial_wait_ms());
        }
    });
}

void proposeClearance(const Backend &backend, const OperatorRequest &call, const Wire::SuspectPart &suspect, const OperatorReplyCallback &callback)
{
    Wire::Command command;
    Wire::PartClearance &clearance = *command.mutable_update_suspects()->add_cleared();
    clearance.set_part(suspect.part());
    clearance.set_crashes(suspect.crash_count());
    clearance.set_evidence("operator " + call.identity.name);
    backend->propose(std::move(command), [callback, encoding = call.encoding](const ProposeOutcome &outcome) {
        if (outcome.status != Wire::PROPOSE_STATUS_APPLIED) {
            callback(connectError(makeError(Wire::ERROR_CODE_UNAVAILABLE, "", "no majority of the replicas confirmed the change", "send it again")));
            return;
        }
        Wire::ClearSuspectPartResponse response;
        response.set_cleared(outcome.result.done());
        callback(writeMessage(encoding, response));
    });
}

void clearSuspectPart(const Backend &backend, const OperatorRequest &call, const Wire::ClearSuspectPartRequest &request, const OperatorReplyCallback &callback)
{
    if (request.part().empty()) {
        callback(connectError(makeError(Wire::ERROR_CODE_INVALID, "part", "is missing", "ListSuspectParts shows the parts")));
        return;
    }
    backend->query(servingQuery(), [backend, call, part = request.part(), callback](const Wire::QueryReply &reply) {
        if (reply.has_error()) {
            callback(connectError(reply.error()));
            return;
        }
        const auto &suspects = reply.serving().suspects();
        const auto found = std::find_if(suspects.begin(), suspects.end(), [&part](const Wire::SuspectPart &suspect) {
            return partText(suspect.part()) == part;
        });
        if (found == suspects.end()) {
            callback(connectError(makeError(Wire::ERROR_CODE_NOT_FOUND, "part", "names no suspect part", "ListSuspectParts shows them")));
            return;
        }
        proposeClearance(backend, call, *found, callback);
    });
}

void listEvacuations(const Backend &backend,
                     const OperatorRequest &call,
                     const Wire::ListEvacuationsRequest & /*request*/,
                     const OperatorReplyCallback &callback)
{
    runQuery<Wire::ListEvacuationsResponse>(backend, call, servingQuery(), callback, [](const Wire::QueryReply &reply, auto &response) {
        *response.mutable_evacuations() = reply.serving().evacuations();
    });
}

void setEvacuation(const Backend &backend, const OperatorRequest &call, const Wire::SetEvacuationRequest &request, const OperatorReplyCallback &callback)
{
    Wire::Command command;
    command.set_actor(call.identity.name);
    command.mutable_set_evacuation()->set_availability_zone(request.availability_zone());
    command.mutable_set_evacuation()->set_end(request.end());
    const auto done = [callback, encoding = call.encoding](const ProposeOutcome &outcome) {
        if (outcome.status != Wire::PROPOSE_STATUS_APPLIED) {
            callback(connectError(makeError(Wire::ERROR_CODE_UNAVAILABLE, "", "no majority of the replicas confirmed the order", "send it again")));
            return;
        }
        if (outcome.result.has_error()) {
            callback(connectError(outcome.result.error()));
            return;
        }
        Wire::SetEvacuationResponse response;
        response.set_order(outcome.result.index());
        callback(writeMessage(encoding, response));
    };
    submitOrder(std::move(command), {.query = backend->query, .propose = backend->propose, .isAwaited = {}, .done = done});
}

void getLedger(const Backend &backend, const OperatorRequest &call, const Wire::GetLedgerRequest &request, const OperatorReplyCallback &callback)
{
    const Wire::Query query = ledgerQuery(request.organisation(), request.day());
    runQuery<Wire::GetLedgerResponse>(backend, call, query, callback, [](const Wire::QueryReply &reply, auto &response) {
        *response.mutable_days() = reply.ledger();
    });
}

void getReport(const Backend &backend, const OperatorRequest &call, const Wire::GetReportRequest & /*request*/, const OperatorReplyCallback &callback)
{
    makeReport(backend, [callback, encoding = call.encoding](const std::string &text) {
        Wire::GetReportResponse response;
        response.set_text(text);
        callback(writeMessage(encoding, response));
    });
}

void getMetrics(const Backend &backend, const OperatorRequest &call, const Wire::GetMetricsRequest & /*request*/, const OperatorReplyCallback &callback)
{
    Wire::GetMetricsResponse response;
    response.set_text(backend->metrics());
    callback(writeMessage(call.encoding, response));
}

void replaceReplica(const Backend &backend, const OperatorRequest &call, const Wire::ReplaceReplicaRequest &request, const OperatorReplyCallback &callback)
{
    if (request.remove().empty() && request.add_address().empty()) {
        callback(connectError(
            makeError(Wire::ERROR_CODE_INVALID, "remove", "and add_address are missing", "name the replica to remove, the address to add, or both")));
        return;
    }
    Wire::ChangeMembers change;
    change.set_remove(request.remove());
    change.set_add_address(request.add_address());
    backend->changeMembers(std::move(change), [callback, encoding = call.encoding](const Wire::ChangeMembersReply &reply) {
        if (reply.has_error()) {
            callback(connectError(reply.error()));
            return;
        }
        Wire::ReplaceReplicaResponse response;
        response.set_done(reply.done());
        callback(writeMessage(encoding, response));
    });
}

const std::vector<OperatorMethod> &operatorMethods()
{
    constexpr bool ReadOnly = false;
    constexpr bool FullRole = true;
    static const std::vector<OperatorMethod> Methods{
        method<Wire::GetConfigurationRequest>("GetConfiguration", ReadOnly, getConfiguration),
        method<Wire::GetRevisionRequest>("GetRevision", ReadOnly, getRevision),
        method<Wire::GetStatusRequest>("GetStatus", ReadOnly, getStatus),
        method<Wire::ListEndpointsRequest>("ListEndpoints", ReadOnly, listEndpoints),
        method<Wire::ListSuspectPartsRequest>("ListSuspectParts", ReadOnly, listSuspectParts),
        method<Wire::ListEvacuationsRequest>("ListEvacuations", ReadOnly, listEvacuations),
        method<Wire::GetLedgerRequest>("GetLedger", ReadOnly, getLedger),
        method<Wire::GetReportRequest>("GetReport", ReadOnly, getReport),
        method<Wire::GetMetricsRequest>("GetMetrics", ReadOnly, getMetrics),
        change<Wire::PutOrganisationRequest>("PutOrganisation"),
        change<Wire::RemoveOrganisationRequest>("RemoveOrganisation"),
        method<Wire::CreateKeyRequest>("CreateKey", FullRole, createKey),
        change<Wire::RemoveKeyRequest>("RemoveKey"),
        change<Wire::PutAllowanceRequest>("PutAllowance"),
        change<Wire::RemoveAllowanceRequest>("RemoveAllowance"),
        change<Wire::SetLimitsRequest>("SetLimits"),
        change<Wire::PutModelRequest>("PutModel"),
        change<Wire::PutVersionRequest>("PutVersion"),
        change<Wire::WithdrawVersionRequest>("WithdrawVersion"),
        change<Wire::PutCascadeRequest>("PutCascade"),
        change<Wire::RemoveCascadeRequest>("RemoveCascade"),
        change<Wire::StartRolloutRequest>("StartRollout"),
        change<Wire::PauseRolloutRequest>("PauseRollout"),
        change<Wire::ResumeRolloutRequest>("ResumeRollout"),
        change<Wire::HaltRolloutRequest>("HaltRollout"),
        change<Wire::FinishRolloutRequest>("FinishRollout"),
        change<Wire::DrainEndpointRequest>("DrainEndpoint"),
        change<Wire::UndrainEndpointRequest>("UndrainEndpoint"),
        method<Wire::ClearSuspectPartRequest>("ClearSuspectPart", FullRole, clearSuspectPart),
        method<Wire::SetEvacuationRequest>("SetEvacuation", FullRole, setEvacuation),
        method<Wire::ReplaceReplicaRequest>("ReplaceReplica", FullRole, replaceReplica),
    };
    return Methods;
}

/** Queries status, configuration and today's ledger one after the other, then renders the report. */
class ReportCall : public std::enable_shared_from_this<ReportCall>
{
public:
    ReportCall(Backend source, std::function<void(const std::string &)> hook) : backend(std::move(source)), done(std::move(hook))
    { }

    void start()
    {
        this->input.nowMs = this->backend->nowMs();
        this->input.organisationMetrics = this->backend->organisationMetrics();
        this->ask(statusQuery(), [this](const Wire::QueryReply &reply) {
            this->input.status = reply.status();
            this->askConfiguration();
        });
    }

private:
    void askConfiguration()
    {
        this->ask(configurationQuery(), [this](const Wire::QueryReply &reply) {
            this->input.configuration = reply.configuration();
            this->askLedger();
        });
    }

    void askLedger()
    {
        this->ask(ledgerQuery("", utcDay(this->input.nowMs)), [this](const Wire::QueryReply &reply) {
            this->input.ledger.assign(reply.ledger().begin(), reply.ledger().end());
            this->done(renderReport(this->input));
        });
    }

    void ask(Wire::Query query, std::function<void(const Wire::QueryReply &)> next)
    {
        this->backend->query(std::move(query), [self = this->shared_from_this(), next = std::move(next)](const Wire::QueryReply &reply) {
            if (!reply.has_error()) {
                next(reply);
                return;
            }
            self->input.unreachable = reply.error().message();
            self->done(renderReport(self->input));
        });
    }

    Backend backend;
    std::function<void(const std::string &)> done;
    ReportInput input;
};

} // namespace

const OperatorMethod *findOperatorMethod(std::string_view name)
{
    const std::vector<OperatorMethod> &methods = operatorMethods();
    const auto found = std::find_if(methods.begin(), methods.end(), [&](const OperatorMethod &method) {
        return method.name == name;
    });
    return found == methods.end() ? nullptr : &*found;
}

void makeReport(const std::shared_ptr<OperatorBackend> &backend, const std::function<void(const std::string &)> &done)
{
    std::make_shared<ReportCall>(backend, done)->start();
}

} // namespace Apricothead
