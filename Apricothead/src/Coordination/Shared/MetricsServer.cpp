#include "MetricsServer.h"

#include "../../Transport/EventLoop.h"

namespace Apricothead {
namespace {

constexpr std::string_view Path = "/metrics";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned MaxConnections = 16;
constexpr std::size_t MaxBodyBytes = 4096;

void appendLoopMetrics(const EventLoop &loop, std::vector<MetricLine> &lines)
{
    for (const auto &[callback, stall] : loop.stalls()) {
        lines.push_back({.name = "loop_held_total", .label = callback, .statistic = {}, .value = static_cast<double>(stall.count)});
        lines.push_back({.name = "loop_held_longest_ms", .label = callback, .statistic = {}, .value = static_cast<double>(stall.longestMs)});
    }
}

} // namespace

MetricsServer::MetricsServer(EventLoop &loop, const std::string &address, std::function<std::vector<MetricLine>()> read)
{
    this->server = std::make_unique<HttpServer>(loop,
                                                HttpServerOptions{
                                                    .address = address,
                                                    .maxBodyBytes = MaxBodyBytes,
                                                    .maxConnections = MaxConnections,
                                                    .onRequest =
                                                        [read = std::move(read), &loop](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                                                            if (request.path != Path) {
                                                                reply->send(StatusNotFound, {}, {});
                                                                return;
                                                            }
                                                            std::vector<MetricLine> lines = read();
                                                            appendLoopMetrics(loop, lines);
                                                            reply->send(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, formatMetrics(lines));
                                                        },
                                                });
}

std::string MetricsServer::boundAddress() const
{
    return this->server->boundAddress();
}

} // namespace Apricothead
