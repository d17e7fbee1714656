#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class TimingSettings
 * \ingroup Protocol_Module
 * \brief Bounds on silence and age, shared by all roles.
 */
struct TimingSettings {
    std::chrono::milliseconds linkHeartbeat{250};
    /** An open connection between processes that is silent for this long is closed and made anew. */
    std::chrono::milliseconds linkSilence{1500};
    /** Interval of Heartbeat messages to the replicas. */
    std::chrono::milliseconds directoryHeartbeat{500};
    /** An endpoint process silent for this long is no longer a candidate. */
    std::chrono::milliseconds endpointSilence{3000};
    /** An endpoint process silent for this long is gone: its open records are settled as lost. */
    std::chrono::milliseconds endpointLost{20000};
    /** Age after which an unused admission is void at the endpoint process. */
    std::chrono::milliseconds admissionValidity{5000};
    std::chrono::milliseconds loadReport{200};
    /** Longest wait for one proposal before the entry refuses. */
    std::chrono::milliseconds proposal{3000};
    /** Longest graceful shutdown; what still runs then is cut and named in the log. */
    std::chrono::milliseconds shutdown{60000};
    std::chrono::milliseconds raftTick{20};
    unsigned raftElectionTicks = 25;
    unsigned raftHeartbeatTicks = 5;

    bool operator==(const TimingSettings &) const = default;
};

/** \class OperatorToken
 * \ingroup Protocol_Module
 * \brief An operator's token, stored as its SHA-256 in lower-case hexadecimal.
 */
struct OperatorToken {
    std::string name;
    std::string sha256;
    bool readOnly = true;

    bool operator==(const OperatorToken &) const = default;
};

/** \class EntrySettings
 * \ingroup Protocol_Module
 * \brief The entry role: where callers and operators connect, and their limits.
 */
struct EntrySettings {
    std::string callerAddress;
    /** Empty: nothing listens for operators. */
    std::string operatorAddress;
    std::vector<OperatorToken> operatorTokens;
    /** URL of the service that rates answers; empty when there is none. */
    std::string ratingUrl;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /** An answer that is put together for a caller may take this much memory; one that takes more ends with 502. */
    std::size_t maxAnswerBytes = 8 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    unsigned maxConnections = 1024;
    std::chrono::seconds idleTimeout{30};
    std::chrono::milliseconds keepAlive{5000};
    std::chrono::milliseconds requestDeadline{120000};
    /** Longest wait for a free place at an endpoint; a request that can't start in time is refused as not run. */
    std::chrono::milliseconds interactiveWait{5000};
    std::chrono::milliseconds draftWait{30000};

    bool operator==(const EntrySettings &) const = default;
};

/** \class ServedSettings
 * \ingroup Protocol_Module
 * \brief A model and version that an endpoint serves.
 */
struct ServedSettings {
    std::string model;
    std::string version;

    bool operator==(const ServedSettings &) const = default;
};

/** \class EndpointSettings
 * \ingroup Protocol_Module
 * \brief The endpoint role: the engine or plain service beside this process.
 */
struct EndpointSettings {
    std::string id;
    /** Where entries connect. */
    std::string address;
    /** Where this process listens when that differs, for instance behind address translation; empty: on \c address. */
    std::string listenAddress;
    /** Base URL of the engine or plain service. */
    std::string engineUrl;
    /** True for a model engine, false for a plain service. */
    bool chat = true;
    std::vector<ServedSettings> served;
    unsigned capacity = 16;
    /** Bytes of answers kept for replay; at the bound the engine's stream is slowed. */
    std::size_t bufferBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds engineConnect{1000};
    /** No byte from the engine for this long ends the run. */
    std::chrono::milliseconds engineSilence{30000};
    /** A run ends at the latest after this time, also while the engine sends. */
    std::chrono::milliseconds engineTotal{600'000};
    std::chrono::milliseconds answerKept{30000};
    /** Field of answers, in lower case, in which the engine names the requests a second that it takes; empty: it names none. */
    std::string requestLimitField;

    bool operator==(const EndpointSettings &) const = default;
};

/** \class ReplicaSettings
 * \ingroup Protocol_Module
 * \brief The replica role: where it listens and where its state lives.
 */
struct ReplicaSettings {
    std::string address;
    /** Where this process listens when that differs; empty: on \c address. */
    std::string listenAddress;
    std::string dataFolder;
    bool groupCommit = true;
    std::uint64_t snapshotEvery = 10000;
    /** The system starts for the first time: the first seed makes the group if its data folder is empty. */
    bool bootstrap = false;
    std::chrono::hours recordKept{24};
    /** How many replicas may be lost at the same time with their disks; by default as many as the first group of the seeds bears. */
    std::optional<unsigned> faultTolerance;

    bool operator==(const ReplicaSettings &) const = default;
};

/** \class GatewaySettings
 * \ingroup Protocol_Module
 * \brief The gateway role: where callers connect, and the bounds that its operators promise.
 */
struct GatewaySettings {
    std::string callerAddress;
    /** Where the platform asks whether this gateway takes callers, and where metrics are read. */
    std::string readyAddress;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    /** Bound on an endpoint's plain answer, and on one event of a stream. A longer one is broken off and not forwarded. */
    std::size_t maxAnswerBytes = 1024 * 1024;
    /** A key that was taken away is refused everywhere after this time. */
    std::chrono::milliseconds revocation{5000};
    /** Requests of one session that follow each other within this time belong together. */
    std::chrono::milliseconds session{5000};
    /** Repeated arrivals at a service, over all gateways, for each request in a window; and how many more. */
    double retryRatio = 0.9;
    std::chrono::milliseconds retryWindow{10000};
    double retrySlack = 56;
    /** Requests to a cold endpoint in one second, over all gateways, for each that it bears; and how many more. */
    double coldRatio = 1.5;
    double coldSlack = 5;
    /** Whether the pace of endpoints that have started or recovered is found from how they answer. */
    bool paceStarted = false;
    /** The process is ended this long after it was asked to stop. */
    std::chrono::milliseconds grace{8000};

    bool operator==(const GatewaySettings &) const = default;
};

/** \class ControlSettings
 * \ingroup Protocol_Module
 * \brief Where operators and endpoints call a replica in the dialect of a platform.
 */
struct ControlSettings {
    std::string address;
    /** The availability zones that there are; empty when they are known from endpoints alone. */
    std::vector<std::string> zones;

    bool operator==(const ControlSettings &) const = default;
};

/** \class Settings
 * \ingroup Protocol_Module
 * \brief What one process is told by its settings file.
 */
struct Settings {
    std::string process;
    std::string group = "main";
    std::string region = "local";
    std::string availabilityZone;
    /** IP and port of each replica; the port is seedPort where the settings give one. */
    std::vector<std::string> seeds;
    std::string logLevel = "info";
    /** Where the process's metrics are read; empty: nowhere. */
    std::string metricsAddress;
    TimingSettings timing;
    std::optional<EntrySettings> entry;
    std::optional<EndpointSettings> endpoint;
    std::optional<ReplicaSettings> replica;
    std::optional<GatewaySettings> gateway;
    std::optional<ControlSettings> control;
    /** Memory that the process may use, in MB. Connections may hold a third of it. */
    unsigned memoryMb = 768;

    bool operator==(const Settings &) const = default;
};

/** \returns the number of voters that the group of replicas calls for: a majority of them remains after as many losses as the settings say */
std::size_t targetVoters(const Settings &settings);

/** \returns where a role listens whose settings name an address for others and perhaps another one to listen on */
template <class RoleSettings>
const std::string &listeningAddress(const RoleSettings &settings)
{
    return settings.listenAddress.empty() ? settings.address : settings.listenAddress;
}

} // namespace Apricothead
