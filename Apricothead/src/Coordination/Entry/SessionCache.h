#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Apricothead {

/** \class SessionCache
 * \ingroup Coordination_Module
 * \brief An entry's memory of which version a session is bound to. A hint: the admission decides.
 */
class SessionCache
{
public:
    /** Remembers up to \a most sessions; then it starts anew, which costs one more proposal for a session. */
    explicit SessionCache(std::size_t maxSessions = 100000);

    void store(const std::string &organisation, const std::string &session, const std::string &model, const std::string &version);
    /** \returns the version, empty when none is remembered */
    std::string version(const std::string &organisation, const std::string &session, const std::string &model) const;

private:
    std::size_t maxSessions;
    std::unordered_map<std::string, std::string> versions;
};

} // namespace Apricothead
