#pragma once

#include "Process.h"

#include <Apricothead/Transport>

#include <memory>
#include <string>
#include <thread>

namespace Apricothead::Test {

/** \class GatewayClusterOptions
 * \brief Limits of the gateway process that a GatewayCluster starts.
 */
struct GatewayClusterOptions {
    unsigned maxBodyBytes = 256 * 1024;
    unsigned maxHeaderBytes = 16 * 1024;
    /** Setting \c memoryMb; 0 leaves it out. */
    unsigned memoryMb = 0;
};

/** \class GatewayCluster
 * \brief A replica and a gateway as processes on loopback, and an endpoint in this process that answers at path \c /plans/.
 *
 * A request to a path below \c /plans/slow is answered after two seconds.
 */
class GatewayCluster
{
public:
    explicit GatewayCluster(const GatewayClusterOptions &options = {});
    ~GatewayCluster();
    GatewayCluster(const GatewayCluster &) = delete;
    GatewayCluster &operator=(const GatewayCluster &) = delete;

    Process &gateway();
    const std::string &callerAddress() const;
    const std::string &readyAddress() const;
    const std::string &controlAddress() const;

    /** Makes one ordinary request. \returns its status, 0 without an answer */
    long ordinary() const;
    long ready() const;

    static long residentKb(const Process &process);
    static std::size_t descriptors(const Process &process);

private:
    void runEndpoint();
    void announce();

    std::string folder;
    std::string caller;
    std::string readiness;
    std::string control;
    std::unique_ptr<Process> replicaProcess;
    std::unique_ptr<Process> gatewayProcess;
    EventLoop loop;
    std::unique_ptr<HttpServer> endpoint;
    std::vector<std::unique_ptr<Timer>> pending;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<HttpCall> announcement;
    std::unique_ptr<Timer> announceTimer;
    std::uint64_t sequence = 0;
    std::thread thread;
};

} // namespace Apricothead::Test
