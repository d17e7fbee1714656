#pragma once

#include "RaftTypes.h"

#include <boost/outcome.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

/** \class StoreError
 * \ingroup State_Module
 * \brief Why a data folder can't be used.
 */
struct StoreError {
    enum class Code {
        /** The folder or file can't be opened, or a write or sync failed. */
        Io,
        /** A checksum does not match, entries are missing, or synced writes are gone. */
        Corrupt,
        /** The folder belongs to another group, or holds one already. */
        WrongGroup,
        /** An explicit confirmation is missing or wrong. */
        NotConfirmed,
    };
    Code code = Code::Io;
    std::string message;
};

template <typename T>
using StoreResult = boost::outcome_v2::unchecked<T, StoreError>;

/** \class LogStoreOptions
 * \ingroup State_Module
 * \brief Where a LogStore lives.
 */
struct LogStoreOptions {
    std::string folder;
    std::string group = "main";
    /** Called before each sync; false makes the sync fail. For tests and measurements. */
    std::function<bool()> beforeSync;
};

/** \class LogStore
 * \ingroup State_Module
 * \brief Log, hard state, snapshot and identity of one replica in a SQLite database, synced at each write.
 *
 * After a failed write the store refuses everything: what reached the disk is unknown then.
 * \sa Raft
 */
class LogStore
{
public:
    /** Opens the folder, and creates it and draws a replica id on first use. */
    static StoreResult<std::unique_ptr<LogStore>> open(LogStoreOptions options);

    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /** \returns the identity drawn when the folder was first used */
    const std::string &replica() const;

    /** Reads everything, checking checksums and gaps. */
    StoreResult<RaftPersistentState> load();

    /** Writes what Raft::take() asked for, in one transaction and one sync. */
    StoreResult<void> save(const RaftOutput &output);

    /** Writes a snapshot made here and drops entries before \a firstKept. */
    StoreResult<void> compact(const RaftSnapshot &snapshot, std::uint64_t firstRetained);

    /** \returns how many syncs were done, and how many bytes of entries were written */
    std::uint64_t syncCount() const;
    std::uint64_t entryBytes() const;

private:
    struct Private;
    explicit LogStore(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
