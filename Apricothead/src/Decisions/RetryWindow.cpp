#include "RetryWindow.h"

#include <algorithm>

namespace Apricothead {

RetryWindow::RetryWindow(RetryWindowOptions given) : options(given)
{ }

void RetryWindow::setGateways(std::uint32_t count)
{
    this->gateways = std::max<std::uint32_t>(1, count);
}

RetryWindow::Counts &RetryWindow::trimmed(const std::string &service, std::uint64_t nowMs)
{
    Counts &known = this->counts[service];
    const std::uint64_t since = nowMs - std::min(nowMs, this->options.windowMs);
    for (std::deque<std::uint64_t> *times : {&known.requests, &known.repeats}) {
        while (!times->empty() && times->front() < since) {
            times->pop_front();
        }
    }
    return known;
}

void RetryWindow::noteRequest(const std::string &service, std::uint64_t nowMs)
{
    this->trimmed(service, nowMs).requests.push_back(nowMs);
}

double RetryWindow::left(const std::string &service, std::uint64_t nowMs)
{
    const Counts &known = this->trimmed(service, nowMs);
    const double allowed = this->options.ratio * static_cast<double>(known.requests.size()) + this->options.slack / this->gateways;
    return this->options.used * allowed - static_cast<double>(known.repeats.size());
}

bool RetryWindow::take(const std::string &service, std::uint64_t nowMs)
{
    if (this->left(service, nowMs) < 1) {
        return false;
    }
    this->counts[service].repeats.push_back(nowMs);
    return true;
}

} // namespace Apricothead
