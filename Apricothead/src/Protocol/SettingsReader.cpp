#include "SettingsReader.h"

#include "SettingsSchema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace Apricothead {
namespace {

using Json = nlohmann::json;
using Faults = std::vector<SettingsFault>;

constexpr unsigned HighestPort = 65535;
constexpr unsigned HighestOctet = 255;

/** \returns valijson's {"<root>", "[entry]", "[callerAddress]"} as \c /entry/callerAddress */
std::string jsonPath(const std::vector<std::string> &context)
{
    std::string path;
    for (const std::string &part : context) {
        if (part.size() < 2 || part.front() != '[') {
            continue;
        }
        path += '/' + part.substr(1, part.size() - 2);
    }
    return path;
}

/** \returns valijson's error in our words; an unknown key is named in the path */
SettingsFault schemaFault(const valijson::ValidationResults::Error &error)
{
    SettingsFault fault{.path = jsonPath(error.context), .message = error.description};
    const std::size_t quote = error.description.rfind(": '");
    if (error.description.find("'additionalProperties'") == std::string::npos || quote == std::string::npos) {
        return fault;
    }
    const std::size_t start = quote + 3;
    fault.path += '/' + error.description.substr(start, error.description.rfind('\'') - start);
    fault.message = "unknown key";
    return fault;
}

/** \returns true for an error that only repeats, for an outer object, what was found inside it */
bool isRepetition(const SettingsFault &fault, const Faults &faults)
{
    if (!fault.message.starts_with("Failed to validate")) {
        return false;
    }
    return std::any_of(faults.begin(), faults.end(), [&](const SettingsFault &other) {
        return other.path.starts_with(fault.path) && !other.message.starts_with("Failed to validate");
    });
}

void checkSchema(const Json &document, Faults &faults)
{
    const Json schemaText = Json::parse(detail::SettingsSchema);
    valijson::Schema schema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaText), schema);
    valijson::ValidationResults results;
    valijson::Validator(valijson::Validator::kStrongTypes).validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results);
    Faults found;
    for (const valijson::ValidationResults::Error &error : results) {
        found.push_back(schemaFault(error));
    }
    for (const SettingsFault &fault : found) {
        if (!isRepetition(fault, found)) {
            faults.push_back(fault);
        }
    }
}

template <class Duration>
void readDuration(const Json &object, const char *key, Duration &target)
{
    if (object.contains(key)) {
        target = Duration(object.at(key).get<std::int64_t>());
    }
}

/** Reads seconds, which may have a fraction. */
void readSeconds(const Json &object, const char *key, std::chrono::milliseconds &target)
{
    if (object.contains(key)) {
        target = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(object.at(key).get<double>()));
    }
}

template <class Value>
void readValue(const Json &object, const char *key, Value &target)
{
    if (object.contains(key)) {
        target = object.at(key).get<Value>();
    }
}

TimingSettings readTiming(const Json &object)
{
    TimingSettings timing;
    readDuration(object, "linkHeartbeatMs", timing.linkHeartbeat);
    readDuration(object, "linkSilenceMs", timing.linkSilence);
    readDuration(object, "directoryHeartbeatMs", timing.directoryHeartbeat);
    readDuration(object, "endpointSilenceMs", timing.endpointSilence);
    readDuration(object, "endpointLostMs", timing.endpointLost);
    readDuration(object, "admissionValidityMs", timing.admissionValidity);
    readDuration(object, "loadReportMs", timing.loadReport);
    readDuration(object, "proposalMs", timing.proposal);
    readDuration(object, "shutdownMs", timing.shutdown);
    readDuration(object, "raftTickMs", timing.raftTick);
    readValue(object, "raftElectionTicks", timing.raftElectionTicks);
    readValue(object, "raftHeartbeatTicks", timing.raftHeartbeatTicks);
    return timing;
}

EntrySettings readEntry(const Json &object)
{
    EntrySettings entry;
    readValue(object, "callerAddress", entry.callerAddress);
    readValue(object, "operatorAddress", entry.operatorAddress);
    for (const Json &token : object.value("operatorTokens", Json::array())) {
        entry.operatorTokens.push_back({.name = token.at("name"), .sha256 = token.at("sha256"), .readOnly = token.at("role") == "readOnly"});
    }
    readValue(object, "ratingUrl", entry.ratingUrl);
    readValue(object, "maxBodyBytes", entry.maxBodyBytes);
    readValue(object, "maxAnswerBytes", entry.maxAnswerBytes);
    readValue(object, "maxHeaderBytes", entry.maxHeaderBytes);
    readValue(object, "maxConnections", entry.maxConnections);
    readDuration(object, "idleTimeoutSeconds", entry.idleTimeout);
    readDuration(object, "keepAliveMs", entry.keepAlive);
    readDuration(object, "requestDeadlineMs", entry.requestDeadline);
    readDuration(object, "interactiveWaitMs", entry.interactiveWait);
    readDuration(object, "draftWaitMs", entry.draftWait);
    return entry;
}

EndpointSettings readEndpoint(const Json &object)
{
    EndpointSettings endpoint;
    readValue(object, "id", endpoint.id);
    readValue(object, "address", endpoint.address);
    readValue(object, "listenAddress", endpoint.listenAddress);
    readValue(object, "engineUrl", endpoint.engineUrl);
    endpoint.chat = object.at("kind") == "chat";
    for (const Json &served : object.at("served")) {
        endpoint.served.push_back({.model = served.at("model"), .version = served.at("version")});
    }
    readValue(object, "capacity", endpoint.capacity);
    readValue(object, "bufferBytes", endpoint.bufferBytes);
    readValue(object, "requestLimitField", endpoint.requestLimitField);
    readDuration(object, "engineConnectMs", endpoint.engineConnect);
    readDuration(object, "engineSilenceMs", endpoint.engineSilence);
    readDuration(object, "engineTotalMs", endpoint.engineTotal);
    readDuration(object, "answerKeptMs", endpoint.answerKept);
    return endpoint;
}

ReplicaSettings readReplica(const Json &object)
{
    ReplicaSettings replica;
    readValue(object, "address", replica.address);
    readValue(object, "listenAddress", replica.listenAddress);
    readValue(object, "dataFolder", replica.dataFolder);
    readValue(object, "groupCommit", replica.groupCommit);
    readValue(object, "snapshotEvery", replica.snapshotEvery);
    readDuration(object, "recordKeptHours", replica.recordKept);
    readValue(object, "bootstrap", replica.bootstrap);
    if (object.contains("faultTolerance")) {
        replica.faultTolerance = object.at("faultTolerance").get<unsigned>();
    }
    return replica;
}

GatewaySettings readGateway(const Json &object)
{
    GatewaySettings gateway;
    readValue(object, "callerAddress", gateway.callerAddress);
    readValue(object, "readyAddress", gateway.readyAddress);
    readValue(object, "maxBodyBytes", gateway.maxBodyBytes);
    readValue(object, "maxHeaderBytes", gateway.maxHeaderBytes);
    readValue(object, "maxAnswerBytes", gateway.maxAnswerBytes);
    readDuration(object, "revocationMs", gateway.revocation);
    readSeconds(object, "sessionSeconds", gateway.session);
    readValue(object, "retryRatio", gateway.retryRatio);
    readSeconds(object, "retryWindowSeconds", gateway.retryWindow);
    readValue(object, "retrySlack", gateway.retrySlack);
    readValue(object, "coldRatio", gateway.coldRatio);
    readValue(object, "coldSlack", gateway.coldSlack);
    readValue(object, "paceStarted", gateway.paceStarted);
    readSeconds(object, "graceSeconds", gateway.grace);
    return gateway;
}

/** \returns \a seeds with their ports replaced: some platforms name where replicas serve operators, not each other */
std::vector<std::string> withPort(const std::vector<std::string> &seeds, unsigned port)
{
    std::vector<std::string> replaced;
    replaced.reserve(seeds.size());
    for (const std::string &seed : seeds) {
        replaced.push_back(seed.substr(0, seed.rfind(':') + 1) + std::to_string(port));
    }
    return replaced;
}

Settings readAll(const Json &document)
{
    Settings settings;
    readValue(document, "process", settings.process);
    readValue(document, "group", settings.group);
    readValue(document, "region", settings.region);
    readValue(document, "availabilityZone", settings.availabilityZone);
    readValue(document, "seeds", settings.seeds);
    readValue(document, "logLevel", settings.logLevel);
    readValue(document, "metricsAddress", settings.metricsAddress);
    settings.timing = readTiming(document.value("timing", Json::object()));
    if (document.contains("entry")) {
        settings.entry = readEntry(document.at("entry"));
    }
    if (document.contains("endpoint")) {
        settings.endpoint = readEndpoint(document.at("endpoint"));
    }
    if (document.contains("replica")) {
        settings.replica = readReplica(document.at("replica"));
    }
    if (document.contains("gateway")) {
        settings.gateway = readGateway(document.at("gateway"));
    }
    if (document.contains("control")) {
        settings.control = ControlSettings{.address = document.at("control").at("address")};
        readValue(document.at("control"), "zones", settings.control->zones);
    }
    readValue(document, "memoryMb", settings.memoryMb);
    if (document.contains("seedPort")) {
        settings.seeds = withPort(settings.seeds, document.at("seedPort").get<unsigned>());
    }
    return settings;
}

bool isAddress(const std::string &address)
{
    std::istringstream stream(address);
    std::array<unsigned, 5> parts{};
    char separator = 0;
    for (unsigned &part : parts) {
        if (!(stream >> part)) {
            return false;
        }
        stream >> separator;
    }
    const bool octetsFit = std::all_of(parts.begin(), parts.begin() + 4, [](unsigned octet) {
        return octet <= HighestOctet;
    });
    return octetsFit && parts.back() <= HighestPort;
}

/** Addresses by their JSON path: those this process listens on, and the seeds. */
std::vector<std::pair<std::string, std::string>> listeningAddresses(const Settings &settings)
{
    std::vector<std::pair<std::string, std::string>> addresses;
    if (settings.entry) {
        addresses.emplace_back("/entry/callerAddress", settings.entry->callerAddress);
    }
    if (settings.entry && !settings.entry->operatorAddress.empty()) {
        addresses.emplace_back("/entry/operatorAddress", settings.entry->operatorAddress);
    }
    if (settings.endpoint) {
        addresses.emplace_back("/endpoint/address", settings.endpoint->address);
    }
    if (settings.endpoint && !settings.endpoint->listenAddress.empty()) {
        addresses.emplace_back("/endpoint/listenAddress", settings.endpoint->listenAddress);
    }
    if (settings.replica) {
        addresses.emplace_back("/replica/address", settings.replica->address);
    }
    if (settings.replica && !settings.replica->listenAddress.empty()) {
        addresses.emplace_back("/replica/listenAddress", settings.replica->listenAddress);
    }
    if (settings.gateway) {
        addresses.emplace_back("/gateway/callerAddress", settings.gateway->callerAddress);
        addresses.emplace_back("/gateway/readyAddress", settings.gateway->readyAddress);
    }
    if (!settings.metricsAddress.empty()) {
        addresses.emplace_back("/metricsAddress", settings.metricsAddress);
    }
    if (settings.control) {
        addresses.emplace_back("/control/address", settings.control->address);
    }
    return addresses;
}

void checkAddresses(const Settings &settings, Faults &faults)
{
    std::set<std::string> listening;
    for (const auto &[path, address] : listeningAddresses(settings)) {
        if (!isAddress(address)) {
            faults.push_back({.path = path, .message = "not an IP number and port: " + address});
        }
        if (!address.ends_with(":0") && !listening.insert(address).second) {
            faults.push_back({.path = path, .message = "another role of this process listens on " + address + " too"});
        }
    }
    std::set<std::string> seeds;
    for (std::size_t index = 0; index < settings.seeds.size(); ++index) {
        const std::string path = "/seeds/" + std::to_string(index);
        if (!isAddress(settings.seeds[index])) {
            faults.push_back({.path = path, .message = "not an IP number and port: " + settings.seeds[index]});
        }
        if (!seeds.insert(settings.seeds[index]).second) {
            faults.push_back({.path = path, .message = "listed twice: " + settings.seeds[index]});
        }
    }
}

void checkRoles(const Settings &settings, Faults &faults)
{
    if (!settings.entry && !settings.endpoint && !settings.replica && !settings.gateway) {
        faults.push_back({.path = "", .message = "no role: give at least one of entry, endpoint, replica and gateway"});
    }
    if (settings.control && !settings.replica) {
        faults.push_back({.path = "/control", .message = "needs the replica role in the same process"});
    }
    if (settings.endpoint && (settings.entry || settings.replica || settings.gateway)) {
        faults.push_back({.path = "/endpoint", .message = "the endpoint role runs in a process of its own, in the slot of its endpoint instance"});
    }
    if (!settings.entry) {
        return;
    }
    if (!settings.entry->operatorAddress.empty() && settings.entry->operatorTokens.empty()) {
        faults.push_back({.path = "/entry/operatorTokens", .message = "operatorAddress needs at least one token; make its hash with sha256sum"});
    }
    std::set<std::string> names;
    for (std::size_t index = 0; index < settings.entry->operatorTokens.size(); ++index) {
        if (!names.insert(settings.entry->operatorTokens[index].name).second) {
            faults.push_back({.path = "/entry/operatorTokens/" + std::to_string(index) + "/name", .message = "name used twice"});
        }
    }
}

void checkServed(const Settings &settings, Faults &faults)
{
    if (!settings.endpoint) {
        return;
    }
    std::set<std::string> versions;
    for (std::size_t index = 0; index < settings.endpoint->served.size(); ++index) {
        if (!versions.insert(settings.endpoint->served[index].version).second) {
            faults.push_back({.path = "/endpoint/served/" + std::to_string(index) + "/version", .message = "version listed twice"});
        }
    }
}

void checkTiming(const Settings &settings, Faults &faults)
{
    const TimingSettings &timing = settings.timing;
    if (timing.linkSilence < 2 * timing.linkHeartbeat) {
        faults.push_back({.path = "/timing/linkSilenceMs", .message = "must be at least twice linkHeartbeatMs, or links are closed while they work"});
    }
    if (timing.endpointSilence < 2 * timing.directoryHeartbeat) {
        faults.push_back({.path = "/timing/endpointSilenceMs", .message = "must be at least twice directoryHeartbeatMs"});
    }
    if (timing.endpointLost < timing.endpointSilence) {
        faults.push_back({.path = "/timing/endpointLostMs", .message = "must not be less than endpointSilenceMs"});
    }
    if (timing.admissionValidity < 2 * timing.loadReport) {
        faults.push_back({.path = "/timing/admissionValidityMs", .message = "must be at least twice loadReportMs, or every admission is void"});
    }
    if (timing.raftElectionTicks < 2 * timing.raftHeartbeatTicks) {
        faults.push_back({.path = "/timing/raftElectionTicks", .message = "must be at least twice raftHeartbeatTicks"});
    }
}

} // namespace

std::size_t targetVoters(const Settings &settings)
{
    const std::size_t borne = settings.replica ? settings.replica->faultTolerance.value_or(0) : 0;
    return std::max(settings.seeds.size(), 2 * borne + 1);
}

SettingsResult readSettings(std::string_view text)
{
    Json document;
    try {
        document = Json::parse(text, nullptr, true, true);
    } catch (const Json::parse_error &error) {
        return std::vector<SettingsFault>{{.path = "", .message = error.what()}};
    }
    std::vector<SettingsFault> faults;
    checkSchema(document, faults);
    if (!faults.empty()) {
        return faults;
    }
    const Settings settings = readAll(document);
    checkRoles(settings, faults);
    checkAddresses(settings, faults);
    checkServed(settings, faults);
    checkTiming(settings, faults);
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

SettingsResult readSettingsFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return std::vector<SettingsFault>{{.path = "", .message = "cannot read " + path}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return readSettings(text.str());
}

} // namespace Apricothead
