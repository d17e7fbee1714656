#pragma once

#include "RaftTypes.h"

#include <boost/outcome.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

/** \class StoreError
 * \ingroup State_Module
 * \brief Why an operation on a data folder failed.
 */
struct StoreError {
    enum class Code {
        /** The folder or a file cannot be opened, or a read, write or sync failed. */
        Io,
        /** A checksum does not match, or entries or synced writes are missing. */
        Corrupt,
        /** The folder belongs to another group, or already holds a group where none is expected. */
        WrongGroup,
        /** The explicit confirmation of the operation is missing or wrong. */
        NotConfirmed,
    };
    Code code = Code::Io;
    std::string message;
};

template <typename T>
using StoreResult = boost::outcome_v2::unchecked<T, StoreError>;

/** \class LogStoreOptions
 * \ingroup State_Module
 * \brief Location and group of a LogStore.
 */
struct LogStoreOptions {
    std::string folder;
    std::string group = "main";
    /** Called before each sync; returning false makes the sync fail. For tests and measurements. */
    std::function<bool()> beforeSync;
};

/** \class LogStore
 * \ingroup State_Module
 * \brief Stores log, hard state, snapshot and identity of one replica in a SQLite database; each write is synced.
 *
 * A failed write is rolled back as a whole and may be tried again: a disk that is full or refuses writes for a while must not end a replica.
 * Entries that would leave a gap are refused, so that a write which failed cannot be skipped.
 * \sa Raft
 */
class LogStore
{
public:
    /** Opens the folder; on first use creates it and generates a replica id. */
    static StoreResult<std::unique_ptr<LogStore>> open(LogStoreOptions options);

    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /** \returns the replica id generated when the folder was first used */
    const std::string &replica() const;

    /** Reads the persisted state. Fails with StoreError::Code::Corrupt on a wrong checksum or a gap in the log. */
    StoreResult<RaftPersistentState> load();

    /** Makes durable what load() returned. An earlier process may have been ended between a write and its sync, and what was read may be in the
     * page cache only; no entry may be acknowledged on the strength of that. Also done by the first write. */
    StoreResult<void> sync();

    /** Returns the space of the write-ahead log to the disk, as far as that is possible without a write that fails. */
    void reclaim();

    /** Writes hard state, snapshot and entries of \a output in one transaction with one sync. */
    StoreResult<void> save(const RaftOutput &output);

    /** Writes a snapshot of this replica's own state and removes the entries before \a firstRetained. */
    StoreResult<void> compact(const RaftSnapshot &snapshot, std::uint64_t firstRetained);

    /** \returns the number of write transactions, each with one sync, since the folder was created */
    std::uint64_t syncCount() const;

    /** \returns the number of writes that failed since the store was opened */
    std::uint64_t failedWrites() const;

    /** \returns the number of bytes of entry data written since the store was opened */
    std::uint64_t entryBytes() const;

private:
    struct Private;
    explicit LogStore(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
