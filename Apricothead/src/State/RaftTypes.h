#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class RaftHardState
 * \ingroup State_Module
 * \brief The term and vote that a replica persists beside its log.
 */
struct RaftHardState {
    std::uint64_t term = 0;
    /** Replica that this one voted for in \c term; empty when it has not voted. */
    std::string vote;

    bool operator==(const RaftHardState &) const = default;
};

/** \class RaftSnapshot
 * \ingroup State_Module
 * \brief The state after the entry at \c index, with the membership in force there.
 */
struct RaftSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Wire::Membership membership;
    std::shared_ptr<const std::string> data;
};

/** \class RaftPersistentState
 * \ingroup State_Module
 * \brief Persisted Raft state of one group, as read from a data folder.
 */
struct RaftPersistentState {
    RaftHardState hardState;
    std::optional<RaftSnapshot> snapshot;
    /** Term of the entry before the first one; 0 when the log starts at index 1. */
    std::uint64_t baseTerm = 0;
    /** Contiguous; the first entry directly follows the snapshot or is covered by it. */
    std::vector<Wire::LogEntry> entries;
};

/** \class RaftReadResult
 * \ingroup State_Module
 * \brief Result of a read index request: the read may be served now (\c confirmed), or leadership was lost.
 */
struct RaftReadResult {
    std::uint64_t id = 0;
    bool confirmed = false;

    bool operator==(const RaftReadResult &) const = default;
};

/** \class RaftOutput
 * \ingroup State_Module
 * \brief Work that Raft::takeOutput() hands to its caller, to be done in the order of the members.
 */
struct RaftOutput {
    /** May be sent before the sync. */
    std::vector<Wire::RaftMessage> messagesBeforeSync;
    /** To be made durable. The snapshot replaces the whole log; the entries replace the log from their first index on. */
    std::optional<RaftHardState> hardState;
    std::optional<RaftSnapshot> snapshot;
    std::vector<Wire::LogEntry> entries;
    /** Must not be sent before the sync has completed. */
    std::vector<Wire::RaftMessage> messagesAfterSync;
    /** To be applied in order, after the snapshot if there is one. */
    std::vector<Wire::LogEntry> committed;
    /** To be answered after \c committed has been applied. */
    std::vector<RaftReadResult> reads;

    bool needsSync() const
    {
        return this->hardState || this->snapshot || !this->entries.empty();
    }

    bool empty() const
    {
        return !this->needsSync() && this->messagesBeforeSync.empty() && this->messagesAfterSync.empty() && this->committed.empty() && this->reads.empty();
    }
};

} // namespace Apricothead
