#include "RaftLog.h"

#include <algorithm>
#include <cassert>

namespace Apricothead {

RaftLog::RaftLog(RaftPersistentState persistentState)
{
    if (persistentState.snapshot) {
        this->latestSnapshot = std::move(*persistentState.snapshot);
    }
    this->memberships.emplace_back(this->latestSnapshot.index, this->latestSnapshot.membership);
    this->baseIndex = persistentState.entries.empty() ? this->latestSnapshot.index : persistentState.entries.front().index() - 1;
    this->baseTerm = persistentState.entries.empty() ? this->latestSnapshot.term : persistentState.baseTerm;
    if (this->baseIndex == this->latestSnapshot.index) {
        this->baseTerm = this->latestSnapshot.term;
    }
    for (Wire::LogEntry &entry : persistentState.entries) {
        this->append(std::move(entry));
    }
}

std::uint64_t RaftLog::firstIndex() const
{
    return this->baseIndex + 1;
}

std::uint64_t RaftLog::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

std::uint64_t RaftLog::lastTerm() const
{
    return this->term(this->lastIndex());
}

std::uint64_t RaftLog::term(std::uint64_t index) const
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return 0;
    }
    return this->entry(index).term();
}

bool RaftLog::matches(std::uint64_t index, std::uint64_t term) const
{
    return index >= this->baseIndex && index <= this->lastIndex() && this->term(index) == term;
}

const Wire::LogEntry &RaftLog::entry(std::uint64_t index) const
{
    assert(index > this->baseIndex && index <= this->lastIndex());
    return this->entries[index - this->baseIndex - 1];
}

std::vector<Wire::LogEntry> RaftLog::slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    std::vector<Wire::LogEntry> result;
    std::size_t bytes = 0;
    for (std::uint64_t index = first; index <= last; ++index) {
        const Wire::LogEntry &next = this->entry(index);
        bytes += next.data().size();
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(next);
    }
    return result;
}

void RaftLog::append(Wire::LogEntry entry)
{
    assert(entry.index() == this->lastIndex() + 1);
    this->recordMembership(entry);
    this->entries.push_back(std::move(entry));
}

void RaftLog::recordMembership(const Wire::LogEntry &entry)
{
    if (entry.kind() != Wire::ENTRY_KIND_MEMBERSHIP || entry.index() <= this->latestSnapshot.index) {
        return;
    }
    Wire::Membership membership;
    membership.ParseFromString(entry.data());
    this->memberships.emplace_back(entry.index(), std::move(membership));
}

void RaftLog::truncateFrom(std::uint64_t first)
{
    assert(first > this->baseIndex && first > this->latestSnapshot.index);
    while (this->lastIndex() >= first) {
        this->entries.pop_back();
    }
    while (this->memberships.size() > 1 && this->memberships.back().first >= first) {
        this->memberships.pop_back();
    }
}

void RaftLog::compact(RaftSnapshot snapshot, std::uint64_t firstRetained)
{
    while (this->firstIndex() < firstRetained && !this->entries.empty()) {
        this->baseTerm = this->entries.front().term();
        ++this->baseIndex;
        this->entries.pop_front();
    }
    while (this->memberships.size() > 1 && this->memberships[1].first <= snapshot.index) {
        this->memberships.erase(this->memberships.begin());
    }
    this->memberships.front() = {snapshot.index, snapshot.membership};
    this->latestSnapshot = std::move(snapshot);
}

void RaftLog::restore(RaftSnapshot snapshot)
{
    this->entries.clear();
    this->baseIndex = snapshot.index;
    this->baseTerm = snapshot.term;
    this->memberships.assign(1, {snapshot.index, snapshot.membership});
    this->latestSnapshot = std::move(snapshot);
}

const RaftSnapshot &RaftLog::snapshot() const
{
    return this->latestSnapshot;
}

const Wire::Membership &RaftLog::membership() const
{
    return this->memberships.back().second;
}

std::uint64_t RaftLog::membershipIndex() const
{
    return this->memberships.back().first;
}

const Wire::Membership &RaftLog::membershipAt(std::uint64_t index) const
{
    const auto found = std::find_if(this->memberships.rbegin(), this->memberships.rend(), [index](const auto &item) {
        return item.first <= index;
    });
    if (found != this->memberships.rend()) {
        return found->second;
    }
    return this->memberships.front().second;
}

} // namespace Apricothead
