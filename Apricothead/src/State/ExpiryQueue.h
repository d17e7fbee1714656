#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Apricothead {

/** Items that one command drops at most from each table: more than it can add, so that a backlog shrinks while work stays bounded. */
constexpr int MaxExpiriesPerCommand = 4;

/** \class ExpiryQueue
 * \ingroup State_Module
 * \brief Names of items ordered by the time of their last use.
 *
 * Ordered by time and name, so a restored table drops items in the same order as one that never stopped.
 */
class ExpiryQueue
{
public:
    void add(std::int64_t timeMs, const std::string &name);
    void remove(std::int64_t timeMs, const std::string &name);
    void clear();

    /** Takes the oldest name that was last used before \a beforeMs. */
    std::optional<std::string> popOlderThan(std::int64_t beforeMs);

private:
    std::set<std::pair<std::int64_t, std::string>> entries;
};

} // namespace Apricothead
