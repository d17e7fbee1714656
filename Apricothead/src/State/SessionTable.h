#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <map>
#include <string>

namespace Apricothead {

/** \class SessionTable
 * \ingroup State_Module
 * \brief Binds each session of an organisation to one version of each model it uses.
 */
class SessionTable
{
public:
    /** \returns the binding, or nullptr when the session has none for \a model */
    const Wire::SessionBinding *find(const std::string &organisation, const std::string &session, const std::string &model) const;

    /** Binds the session of an accepted admission if it is new, and sets the time of its last use. */
    void recordUse(const Wire::Admit &admit, std::int64_t timeMs);

    /** Drops sessions last used before \a beforeMs, at most MaxExpiriesPerCommand of them. */
    void expire(std::int64_t beforeMs);

    std::size_t size() const;
    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    std::map<std::string, Wire::SessionBinding> sessions;
    ExpiryQueue expiries;
};

} // namespace Apricothead
