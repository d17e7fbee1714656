#include "VersionCounts.h"

namespace Apricothead {

Wire::VersionCount &VersionCounts::findOrAdd(const std::string &service, const std::string &version, const std::string &route)
{
    Wire::VersionCount &count = this->counts[{service, version, route}];
    if (count.service().empty()) {
        count.set_service(service);
        count.set_version(version);
        count.set_route(route);
    }
    return count;
}

void VersionCounts::recordStart(const std::string &service, const std::string &version, const std::string &route)
{
    Wire::VersionCount &count = this->findOrAdd(service, version, route);
    count.set_open(count.open() + 1);
}

void VersionCounts::recordAnswer(const std::string &service, const std::string &version, const std::string &route, bool failed, double tookMs)
{
    Wire::VersionCount &count = this->findOrAdd(service, version, route);
    count.set_answers(count.answers() + 1);
    count.set_failed(count.failed() + (failed ? 1 : 0));
    count.set_time_sum_ms(count.time_sum_ms() + tookMs);
}

void VersionCounts::recordEnd(const std::string &service, const std::string &version, const std::string &route)
{
    Wire::VersionCount &count = this->findOrAdd(service, version, route);
    count.set_open(count.open() > 0 ? count.open() - 1 : 0);
}

std::vector<Wire::VersionCount> VersionCounts::read() const
{
    std::vector<Wire::VersionCount> listed;
    for (const auto &[key, count] : this->counts) {
        listed.push_back(count);
    }
    return listed;
}

} // namespace Apricothead
