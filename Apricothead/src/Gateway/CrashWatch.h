#pragma once

#include "../Coordination/Shared/Metrics.h"
#include "../Decisions/DirectEndpoints.h"
#include "../Decisions/PartQuarantine.h"
#include "../Transport/HttpClient.h"
#include "../Transport/Timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Apricothead {

class EventLoop;

/** \class CrashWatchOptions
 * \ingroup Gateway_Module
 * \brief What a CrashWatch works on; all of it must outlive the watch.
 */
struct CrashWatchOptions {
    HttpClient &client;
    DirectEndpoints &endpoints;
    PartQuarantine &quarantine;
    Metrics &metrics;
    /** A crash is to be reported to the leader. */
    std::function<void()> onCrash;
};

/** \class CrashWatch
 * \ingroup Gateway_Module
 * \brief Tells crashes of endpoints from connections that were lost for another reason, and keeps the crashes until the leader has them.
 *
 * After requests have lost their connections to an endpoint, it is connected to once: one that accepts the connection has not crashed, and
 * the losses are forgotten.
 */
class CrashWatch
{
public:
    CrashWatch(EventLoop &loop, CrashWatchOptions options);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /** Sets the hook of CrashWatchOptions::onCrash. */
    void onCrash(std::function<void()> hook);

    /** Records that \a request awaited its answer at the endpoint of \a choice when its connection was lost. */
    void recordLoss(const EndpointChoice &choice, const SuspectRequest &request);

    /** \returns the crashes to be reported with the heartbeat of lease round \a round */
    std::vector<Wire::EndpointCrash> reports(std::uint64_t round);
    /** The leader has received the heartbeats up to that of \a round. */
    void confirmReports(std::uint64_t round);

private:
    struct Check {
        EndpointChoice choice;
        Wire::EndpointCrash crash;
        std::unique_ptr<HttpCall> call;
        bool isEnded = false;
    };
    struct Report {
        EndpointIncarnation endpoint;
        Wire::EndpointCrash crash;
        /** Lease round of the first heartbeat with it; 0 before. */
        std::uint64_t round = 0;
    };
    void startChecks();
    void endCheck(const EndpointIncarnation &endpoint, bool isAccepting);

    EventLoop &loop;
    CrashWatchOptions options;
    Timer checkTimer;
    std::map<EndpointIncarnation, Check> checks;
    std::vector<Report> unconfirmedReports;
};

} // namespace Apricothead
