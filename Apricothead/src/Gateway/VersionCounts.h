#pragma once

#include "../Protocol/Messages.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Apricothead {

/** \class VersionCounts
 * \ingroup Gateway_Module
 * \brief Counts the responses of each service version on each route, since this gateway started.
 * \sa ServiceRolloutEvaluator
 */
class VersionCounts
{
public:
    void recordStart(const std::string &service, const std::string &version, const std::string &route);
    /** \a tookMs: time to the first event or to the complete response. */
    void recordAnswer(const std::string &service, const std::string &version, const std::string &route, bool failed, double tookMs);
    void recordEnd(const std::string &service, const std::string &version, const std::string &route);

    std::vector<Wire::VersionCount> read() const;

private:
    Wire::VersionCount &findOrAdd(const std::string &service, const std::string &version, const std::string &route);

    std::map<std::tuple<std::string, std::string, std::string>, Wire::VersionCount> counts;
};

} // namespace Apricothead
