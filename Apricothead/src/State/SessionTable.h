#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <map>
#include <string>

namespace Apricothead {

/** \class SessionTable
 * \ingroup State_Module
 * \brief Which version each session of an organisation is bound to, one for each model.
 */
class SessionTable
{
public:
    /** \returns the binding, or nullptr when the session has none for \a model */
    const Wire::SessionBinding *find(const std::string &organisation, const std::string &session, const std::string &model) const;

    /** Binds the session of an accepted admission, or notes that it was used. */
    void recordUse(const Wire::Admit &admit, std::int64_t timeMs);

    /** Drops a bounded number of sessions that were last used before \a beforeMs. */
    void expire(std::int64_t beforeMs);

    std::size_t size() const;
    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    std::map<std::string, Wire::SessionBinding> sessions;
    ExpiryQueue expiries;
};

} // namespace Apricothead
