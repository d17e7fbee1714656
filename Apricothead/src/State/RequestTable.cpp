#include "RequestTable.h"

#include "KeyEncoding.h"

namespace Apricothead {

bool isBillingPending(const Wire::RequestRecord &record)
{
    return record.state() == Wire::RECORD_STATE_ADMITTED || (record.state() == Wire::RECORD_STATE_ABANDONED && record.may_have_run());
}

const Wire::RequestRecord *RequestTable::find(const Wire::RequestKey &key) const
{
    const auto found = this->records.find(encodeKey(key));
    return found == this->records.end() ? nullptr : &found->second;
}

bool RequestTable::isRetired(const Wire::RequestKey &key) const
{
    return this->retired.contains(hash128(encodeKey(key)));
}

void RequestTable::put(const Wire::RequestRecord &record)
{
    const std::string name = encodeKey(record.key());
    const auto [entry, isNew] = this->records.try_emplace(name);
    if (!isNew) {
        this->unindex(name, entry->second);
    }
    entry->second = record;
    this->index(name, record);
}

void RequestTable::retire(std::int64_t beforeMs)
{
    for (int i = 0; i < MaxExpiriesPerCommand; ++i) {
        const auto name = this->ended.popOlderThan(beforeMs);
        if (!name) {
            return;
        }
        this->retired.insert(hash128(*name));
        this->records.erase(*name);
    }
}

void RequestTable::forEachUnbilled(const std::function<void(const Wire::RequestRecord &)> &visit) const
{
    for (const std::string &name : this->unbilled) {
        visit(this->records.at(name));
    }
}

std::size_t RequestTable::size() const
{
    return this->records.size();
}

std::size_t RequestTable::retiredCount() const
{
    return this->retired.size();
}

void RequestTable::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[name, record] : this->records) {
        *snapshot.add_records() = record;
    }
    for (const std::string &hash : this->retired) {
        snapshot.add_retired_keys(hash);
    }
}

void RequestTable::restore(const Wire::StateSnapshot &snapshot)
{
    *this = RequestTable();
    for (const Wire::RequestRecord &record : snapshot.records()) {
        this->put(record);
    }
    this->retired.insert(snapshot.retired_keys().begin(), snapshot.retired_keys().end());
}

void RequestTable::index(const std::string &name, const Wire::RequestRecord &record)
{
    if (isBillingPending(record)) {
        this->unbilled.insert(name);
    } else {
        this->ended.add(record.changed_at_ms(), name);
    }
}

void RequestTable::unindex(const std::string &name, const Wire::RequestRecord &record)
{
    this->unbilled.erase(name);
    this->ended.remove(record.changed_at_ms(), name);
}

} // namespace Apricothead
