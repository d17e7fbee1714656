#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Apricothead {

/** \returns true while the run of \a record, or of an attempt before it, may still have to be billed */
bool isBillingPending(const Wire::RequestRecord &record);

/** \class RequestTable
 * \ingroup State_Module
 * \brief Request records, and the hashes of those that were retired.
 *
 * An ended record is retired a fixed time after it ended. The hash of its key stays for good, so that the key never runs again.
 */
class RequestTable
{
public:
    /** \returns the record, or nullptr when there is none */
    const Wire::RequestRecord *find(const Wire::RequestKey &key) const;
    bool isRetired(const Wire::RequestKey &key) const;

    /** Puts or replaces the record of its key. */
    void put(const Wire::RequestRecord &record);

    /** Retires a bounded number of records that ended before \a beforeMs. */
    void retire(std::int64_t beforeMs);

    /** Calls \a visit with each record that awaits its bill, ordered by key. */
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
