#pragma once

#include "Messages.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Apricothead {

/** \class RunId
 * \ingroup Protocol_Module
 * \brief Names one attempt of one step of a request: what an endpoint process runs at most once.
 */
struct RunId {
    std::string organisation;
    std::string key;
    std::uint32_t step = 0;
    std::uint32_t attempt = 0;

    bool operator==(const RunId &) const = default;

    bool operator<(const RunId &other) const
    {
        return std::tie(this->organisation, this->key, this->step, this->attempt) < std::tie(other.organisation, other.key, other.step, other.attempt);
    }
};

/** \returns the name of attempt \a attempt of \a key */
inline RunId runId(const Wire::RequestKey &key, std::uint32_t attempt)
{
    return {.organisation = key.organisation(), .key = key.key(), .step = key.step(), .attempt = attempt};
}

/** \returns the key of \a id as messages carry it */
inline Wire::RequestKey requestKey(const RunId &id)
{
    Wire::RequestKey key;
    key.set_organisation(id.organisation);
    key.set_key(id.key);
    key.set_step(id.step);
    return key;
}

} // namespace Apricothead
