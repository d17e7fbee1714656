#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Apricothead {

/** \class SessionCache
 * \ingroup Coordination_Module
 * \brief Caches the version that each session is bound to. It may be stale: the admission is authoritative.
 */
class SessionCache
{
public:
    /** Holds up to \a maxSessions sessions and is cleared when full, which costs one more proposal for a session. */
    explicit SessionCache(std::size_t maxSessions = 100000);

    void store(const std::string &organisation, const std::string &session, const std::string &model, const std::string &version);
    /** \returns the version; empty if none is cached */
    std::string version(const std::string &organisation, const std::string &session, const std::string &model) const;

private:
    std::size_t maxSessions;
    std::unordered_map<std::string, std::string> versions;
};

} // namespace Apricothead
