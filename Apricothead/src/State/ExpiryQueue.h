#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Apricothead {

/** Limit on the entries that one command drops from each table. It exceeds what a command can add, so a backlog shrinks while the work stays bounded. */
constexpr int MaxExpiriesPerCommand = 4;

/** \class ExpiryQueue
 * \ingroup State_Module
 * \brief Names of table entries, ordered by the time of their last use.
 *
 * Entries of equal time are ordered by name, so that a restored table drops entries in the same order as the original.
 */
class ExpiryQueue
{
public:
    void add(std::int64_t timeMs, const std::string &name);
    void remove(std::int64_t timeMs, const std::string &name);
    void clear();

    /** Removes and returns the oldest name last used before \a beforeMs. \returns nullopt when there is none */
    std::optional<std::string> popOlderThan(std::int64_t beforeMs);

private:
    std::set<std::pair<std::int64_t, std::string>> entries;
};

} // namespace Apricothead
