#pragma once

#include "RaftTypes.h"

#include <deque>
#include <utility>

namespace Apricothead {

/** \class RaftLog
 * \ingroup State_Module
 * \brief In-memory log of a replica: its entries, the latest snapshot, and the memberships that the entries set.
 * \sa Raft
 */
class RaftLog
{
public:
    explicit RaftLog(RaftPersistentState persistentState);

    /** \returns the index of the first retained entry */
    std::uint64_t firstIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;

    /** \returns the term of the entry at \a index, 0 when the log does not know it */
    std::uint64_t term(std::uint64_t index) const;

    /** \returns whether the log knows the term of the entry at \a index and it equals \a term */
    bool matches(std::uint64_t index, std::uint64_t term) const;

    const Wire::LogEntry &entry(std::uint64_t index) const;

    /** \returns the entries from \a first to \a last, cut off at \a maxBytes of data, but at least one if the range is not empty */
    std::vector<Wire::LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    void append(Wire::LogEntry entry);

    /** Removes all entries from \a first on, and the memberships that they set. */
    void truncateFrom(std::uint64_t first);

    /** Records \a snapshot as the latest one and removes the entries before \a firstRetained. */
    void compact(RaftSnapshot snapshot, std::uint64_t firstRetained);

    /** Replaces the whole log by \a snapshot. */
    void restore(RaftSnapshot snapshot);

    const RaftSnapshot &snapshot() const;

    /** \returns the latest membership in the log, committed or not */
    const Wire::Membership &membership() const;
    std::uint64_t membershipIndex() const;

    /** \returns the membership in effect at \a index, which must not precede the snapshot */
    const Wire::Membership &membershipAt(std::uint64_t index) const;

private:
    void recordMembership(const Wire::LogEntry &entry);

    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    RaftSnapshot latestSnapshot;
    std::deque<Wire::LogEntry> entries;
    std::vector<std::pair<std::uint64_t, Wire::Membership>> memberships;
};

} // namespace Apricothead
