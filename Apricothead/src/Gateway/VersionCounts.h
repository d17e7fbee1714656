#pragma once

#include "../Protocol/Messages.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Apricothead {

/** \class VersionCounts
 * \ingroup Gateway_Module
 * \brief Counts how answers of each version of a service ended on each route, since this gateway started.
 * \sa ServiceRolloutEvaluator
 */
class VersionCounts
{
public:
    void started(const std::string &service, const std::string &version, const std::string &route);
    /** \a tookMs: until the first event or the whole answer. */
    void answered(const std::string &service, const std::string &version, const std::string &route, bool failed, double tookMs);
    void ended(const std::string &service, const std::string &version, const std::string &route);

    std::vector<Wire::VersionCount> read() const;

private:
    Wire::VersionCount &find(const std::string &service, const std::string &version, const std::string &route);

    std::map<std::tuple<std::string, std::string, std::string>, Wire::VersionCount> counts;
};

} // namespace Apricothead
