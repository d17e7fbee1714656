#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Apricothead {

/** \returns true while the current attempt of \a record, or an earlier one, may still have to be billed */
bool isBillingPending(const Wire::RequestRecord &record);

/** \class RequestTable
 * \ingroup State_Module
 * \brief Request records, and the key hashes of retired records.
 *
 * Ended records are retired after a fixed time. The hash of their key is kept permanently, so that the key never runs again.
 */
class RequestTable
{
public:
    /** \returns the record, or nullptr when there is none */
    const Wire::RequestRecord *find(const Wire::RequestKey &key) const;
    bool isRetired(const Wire::RequestKey &key) const;

    /** Inserts the record, or replaces the one with the same key. */
    void put(const Wire::RequestRecord &record);

    /** Retires records that ended before \a beforeMs, at most MaxExpiriesPerCommand of them. */
    void retire(std::int64_t beforeMs);

    /** Calls \a visit with each record for which isBillingPending() is true, ordered by key. */
    void forEachUnbilled(const std::function<void(const Wire::RequestRecord &)> &visit) const;

    std::size_t size() const;
    std::size_t retiredCount() const;
    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    void index(const std::string &name, const Wire::RequestRecord &record);
    void unindex(const std::string &name, const Wire::RequestRecord &record);

    std::map<std::string, Wire::RequestRecord> records;
    std::set<std::string> unbilled;
    ExpiryQueue ended;
    std::set<std::string> retired;
};

} // namespace Apricothead
