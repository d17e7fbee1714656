#include "CrashWatch.h"

#include "../Transport/EventLoop.h"
#include "../Transport/Log.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

/** The other requests that the same crash ends are noticed within this time. */
constexpr milliseconds CheckDelay{10};
constexpr milliseconds ConnectTimeout{300};
constexpr std::size_t MaxChecks = 32;
constexpr std::size_t MaxReports = 32;
constexpr int MaxRequestsPerCrash = 16;

std::string crashPartsText(const Wire::EndpointCrash &crash)
{
    std::string text;
    for (const Wire::AwaitingRequest &request : crash.requests()) {
        text += (text.empty() ? "" : ";") + partsText({request.parts().begin(), request.parts().end()});
    }
    return text;
}

} // namespace

CrashWatch::CrashWatch(EventLoop &givenLoop, CrashWatchOptions given)
    : loop(givenLoop), options(std::move(given)), checkTimer(givenLoop, [this] {
        this->startChecks();
    })
{ }

CrashWatch::~CrashWatch() = default;

void CrashWatch::onCrash(std::function<void()> hook)
{
    this->options.onCrash = std::move(hook);
}

void CrashWatch::recordLoss(const EndpointChoice &choice, const SuspectRequest &request)
{
    const std::uint64_t nowMs = this->loop.nowMs();
    const EndpointIncarnation endpoint{.endpoint = choice.endpoint, .bornMs = choice.bornMs};
    const std::vector<std::uint64_t> parts = this->options.quarantine.unclearedParts(request, nowMs);
    // An endpoint that was to leave ends for that reason.
    const bool isCounted = !parts.empty() && this->options.endpoints.isReady(choice.endpoint);
    const auto known = this->checks.find(endpoint);
    if (!isCounted || (known == this->checks.end() && this->checks.size() >= MaxChecks)) {
        return;
    }
    this->options.quarantine.recordLoss(endpoint, request, nowMs);
    Check &check = this->checks[endpoint];
    if (known == this->checks.end()) {
        check.choice = choice;
        check.crash.set_endpoint(choice.endpoint);
        check.crash.set_born_ms(choice.bornMs);
        this->checkTimer.startOnce(CheckDelay);
    }
    if (check.crash.requests_size() < MaxRequestsPerCrash) {
        Wire::AwaitingRequest &awaiting = *check.crash.add_requests();
        awaiting.set_fingerprint(request.fingerprint);
        awaiting.mutable_parts()->Add(parts.begin(), parts.end());
    }
}

void CrashWatch::startChecks()
{
    for (auto &[endpoint, check] : this->checks) {
        if (check.call) {
            continue;
        }
        check.call = this->options.client.start({
            .url = "http://" + check.choice.address + "/",
            .connectTimeout = ConnectTimeout,
            .connectOnly = true,
            .onDone =
                [this, endpoint = endpoint](const HttpResult &result) {
                    this->endCheck(endpoint, result.whole);
                },
        });
    }
}

void CrashWatch::endCheck(const EndpointIncarnation &endpoint, bool isAccepting)
{
    const auto found = this->checks.find(endpoint);
    if (found == this->checks.end() || std::exchange(found->second.isEnded, true)) {
        return;
    }
    // Later: this runs inside the call.
    this->loop.post([call = std::shared_ptr<HttpCall>(std::move(found->second.call))] {});
    Wire::EndpointCrash crash = std::move(found->second.crash);
    this->checks.erase(found);
    logLine(LogLevel::Warning,
            isAccepting ? "endpoint-accepting" : "endpoint-crashed",
            {{"endpoint", endpoint.endpoint},
             {"bornMs", endpoint.bornMs},
             {"awaiting", static_cast<std::uint64_t>(crash.requests_size())},
             {"parts", crashPartsText(crash)}});
    if (isAccepting) {
        this->options.quarantine.forgetLosses(endpoint, this->loop.nowMs());
        return;
    }
    this->options.metrics.count("endpoint_crashes_total", {});
    this->options.endpoints.recordCrash(endpoint.endpoint, this->loop.nowMs());
    if (this->unconfirmedReports.size() >= MaxReports) {
        this->unconfirmedReports.erase(this->unconfirmedReports.begin());
    }
    this->unconfirmedReports.push_back({.endpoint = endpoint, .crash = std::move(crash)});
    if (this->options.onCrash) {
        this->options.onCrash();
    }
}

std::vector<Wire::EndpointCrash> CrashWatch::reports(std::uint64_t round)
{
    std::vector<Wire::EndpointCrash> crashes;
    for (Report &report : this->unconfirmedReports) {
        report.round = report.round == 0 ? round : report.round;
        crashes.push_back(report.crash);
    }
    return crashes;
}

void CrashWatch::confirmReports(std::uint64_t round)
{
    std::erase_if(this->unconfirmedReports, [this, round](const Report &report) {
        const bool isConfirmed = report.round != 0 && report.round <= round;
        if (isConfirmed) {
            this->options.quarantine.forgetLosses(report.endpoint, this->loop.nowMs());
        }
        return isConfirmed;
    });
}

} // namespace Apricothead
