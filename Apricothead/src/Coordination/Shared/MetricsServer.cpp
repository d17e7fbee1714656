#include "MetricsServer.h"

namespace Apricothead {
namespace {

constexpr std::string_view Path = "/metrics";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned MaxConnections = 16;
constexpr std::size_t MaxBodyBytes = 4096;

} // namespace

MetricsServer::MetricsServer(EventLoop &loop, const std::string &address, std::function<std::vector<MetricLine>()> read)
{
    this->server = std::make_unique<HttpServer>(loop,
                                                HttpServerOptions{
                                                    .address = address,
                                                    .maxBodyBytes = MaxBodyBytes,
                                                    .maxConnections = MaxConnections,
                                                    .onRequest =
                                                        [read = std::move(read)](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                                                            if (request.path != Path) {
                                                                reply->send(StatusNotFound, {}, {});
                                                                return;
                                                            }
                                                            reply->send(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, formatMetrics(read()));
                                                        },
                                                });
}

} // namespace Apricothead
