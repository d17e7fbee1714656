#pragma once

#include "../../Decisions/EndpointTracker.h"
#include "../../Decisions/PrefixIndex.h"
#include "EndpointLinks.h"

#include <map>
#include <string>

namespace Apricothead {

/** \class EndpointPoolOptions
 * \ingroup Coordination_Module
 * \brief Options of an EndpointPool and its links.
 */
struct EndpointPoolOptions {
    /** Its callbacks run after the pool has updated its own state. */
    EndpointLinksOptions links;
    EndpointTrackerOptions tracker;
    std::string availabilityZone;
};

/** \class EndpointPool
 * \ingroup Coordination_Module
 * \brief Keeps the links, load, health and cached prefixes of the endpoint processes, and chooses among them.
 */
class EndpointPool
{
public:
    EndpointPool(EventLoop &loop, EndpointPoolOptions options);
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    void setDirectory(const std::vector<Wire::EndpointStatus> &endpoints);
    /** Applies which endpoints an operator has drained. */
    void setConfiguration(const Wire::Configuration &configuration);

    /** Chooses an endpoint and logs the decision. \a prefixes are those of the request's prompt. */
    RoutingDecision choose(RoutingRequest request, const std::vector<PrefixBlock> &prefixes, const std::string &requestId);

    /** \returns the load of the endpoints that serve \a model */
    ModelLoad loadOf(const std::string &model) const;

    RunHandle recordStarted(const RoutingDecision &decision, const std::vector<PrefixBlock> &prefixes);
    void recordFirstToken(RunHandle &runHandle);
    void recordFinished(const RunHandle &runHandle, RunOutcome outcome);

    bool send(const std::string &endpoint, Wire::Envelope message);
    std::uint64_t silentForMs(const std::string &endpoint) const;
    bool isConnected(const std::string &endpoint) const;
    /** \returns the newest known incarnation; 0 if there is none */
    std::uint64_t incarnation(const std::string &endpoint) const;
    /** \returns the endpoint process's own clock in its last load report, in ms; 0 before the first report of its incarnation */
    std::uint64_t gateTimeMs(const std::string &endpoint) const;

    /** \returns the number of endpoints that serve the version and accept work */
    std::size_t usableCount(const std::string &model, const std::string &version) const;

    /** To be called a few times a second. */
    void tick();

private:
    struct EndpointState {
        std::uint64_t incarnation = 0;
        std::uint64_t gateTimeMs = 0;
        unsigned entries = 1;
        bool isLeavingInDirectory = false;
        bool isDrained = false;
        std::string availabilityZone;
        std::vector<ServedModel> served;
    };

    EndpointLinksOptions withPoolHooks(EndpointLinksOptions linkOptions);
    void receive(const std::string &endpoint, const Wire::Envelope &message);
    void handleLoadReport(const std::string &endpoint, const Wire::LoadReport &report);
    void applyAnnouncement(const std::string &endpoint, EndpointState &state, std::uint64_t incarnation, std::vector<ServedModel> served);
    double nowMs() const;

    EventLoop &loop;
    EndpointPoolOptions options;
    EndpointTracker tracker;
    PrefixIndex prefixes;
    std::map<std::string, EndpointState> endpoints;
    RandomSource random;
    EndpointLinks links;
};

} // namespace Apricothead
