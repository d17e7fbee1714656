#include "RetryWindow.h"

#include <algorithm>

namespace Apricothead {

RetryWindow::RetryWindow(RetryWindowOptions givenOptions) : options(givenOptions)
{ }

void RetryWindow::setGateways(std::uint32_t count)
{
    this->gateways = std::max<std::uint32_t>(1, count);
}

RetryWindow::Counts &RetryWindow::pruned(const std::string &service, std::uint64_t nowMs)
{
    Counts &recent = this->counts[service];
    const std::uint64_t since = nowMs - std::min(nowMs, this->options.windowMs);
    for (std::deque<std::uint64_t> *times : {&recent.requests, &recent.repeats}) {
        while (!times->empty() && times->front() < since) {
            times->pop_front();
        }
    }
    return recent;
}

void RetryWindow::recordRequest(const std::string &service, std::uint64_t nowMs)
{
    this->pruned(service, nowMs).requests.push_back(nowMs);
}

double RetryWindow::remaining(const std::string &service, std::uint64_t nowMs, RepeatCause cause)
{
    const Counts &recent = this->pruned(service, nowMs);
    const double allowed = this->options.ratio * static_cast<double>(recent.requests.size()) + this->options.slack / this->gateways;
    const double fraction = cause == RepeatCause::LostAnswer ? this->options.lostFraction : this->options.usedFraction;
    return fraction * allowed - static_cast<double>(recent.repeats.size());
}

bool RetryWindow::tryAcquire(const std::string &service, std::uint64_t nowMs, RepeatCause cause)
{
    if (this->remaining(service, nowMs, cause) < 1) {
        return false;
    }
    this->counts[service].repeats.push_back(nowMs);
    return true;
}

} // namespace Apricothead
