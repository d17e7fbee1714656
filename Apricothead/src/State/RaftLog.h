#pragma once

#include "RaftTypes.h"

#include <deque>
#include <utility>

namespace Apricothead {

/** \class RaftLog
 * \ingroup State_Module
 * \brief The entries that a replica holds in memory, the snapshot before them, and the memberships that they set.
 * \sa Raft
 */
class RaftLog
{
public:
    explicit RaftLog(RaftPersistentState persistentState);

    /** \returns the index of the first entry held */
    std::uint64_t firstIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;

    /** \returns the term of the entry at \a index, 0 when it is not known */
    std::uint64_t term(std::uint64_t index) const;

    /** \returns true when the entry at \a index is known to have \a term */
    bool matches(std::uint64_t index, std::uint64_t term) const;

    const Wire::LogEntry &entry(std::uint64_t index) const;

    /** \returns entries from \a first on, at least one if there is one, and no more than \a maxBytes of data otherwise */
    std::vector<Wire::LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    void append(Wire::LogEntry entry);

    /** Drops all entries from \a first on, and the memberships that they set. */
    void truncateFrom(std::uint64_t first);

    /** Notes that \a snapshot exists and drops the entries before \a firstKept. */
    void compact(RaftSnapshot snapshot, std::uint64_t firstRetained);

    /** Replaces everything by \a snapshot. */
    void restore(RaftSnapshot snapshot);

    const RaftSnapshot &snapshot() const;

    /** \returns the newest membership in the log, committed or not */
    const Wire::Membership &membership() const;
    std::uint64_t membershipIndex() const;

    /** \returns the membership in force at \a index, which is not before the snapshot */
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
