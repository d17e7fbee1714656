#include "LogStore.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <random>
#include <utility>

namespace Apricothead {

namespace {

constexpr std::size_t SnapshotRowBytes = 1024 * 1024;
/** Size to which the write-ahead log is cut after a checkpoint; else it keeps the size of the largest transaction for good. */
constexpr const char *LimitWriteAheadLog = "PRAGMA journal_size_limit=4194304";

/** Owns a prepared SQLite statement. */
class Statement
{
public:
    Statement(sqlite3 *database, const char *text)
    {
        this->valid = sqlite3_prepare_v2(database, text, -1, &this->handle, nullptr) == SQLITE_OK;
    }

    ~Statement()
    {
        sqlite3_finalize(this->handle);
    }

    Statement(const Statement &) = delete;
    Statement &operator=(const Statement &) = delete;

    Statement &bind(int column, std::uint64_t value)
    {
        sqlite3_bind_int64(this->handle, column, static_cast<sqlite3_int64>(value));
        return *this;
    }

    Statement &bind(int column, const std::string &value)
    {
        sqlite3_bind_blob64(this->handle, column, value.data(), value.size(), SQLITE_TRANSIENT);
        return *this;
    }

    /** Steps to the next row. \returns false at the end or on an error */
    bool nextRow()
    {
        this->status = this->valid ? sqlite3_step(this->handle) : SQLITE_ERROR;
        return this->status == SQLITE_ROW;
    }

    /** Executes the statement and resets it. \returns false on an error */
    bool run()
    {
        while (this->nextRow()) { }
        const bool done = this->status == SQLITE_DONE;
        sqlite3_reset(this->handle);
        return done;
    }

    bool isDone() const
    {
        return this->status == SQLITE_DONE;
    }

    std::uint64_t integer(int column)
    {
        return static_cast<std::uint64_t>(sqlite3_column_int64(this->handle, column));
    }

    std::string bytes(int column)
    {
        const void *data = sqlite3_column_blob(this->handle, column);
        const int size = sqlite3_column_bytes(this->handle, column);
        return data == nullptr ? std::string() : std::string(static_cast<const char *>(data), static_cast<std::size_t>(size));
    }

private:
    sqlite3_stmt *handle = nullptr;
    bool valid = false;
    int status = SQLITE_OK;
};

std::uint64_t checksum(std::uint64_t first, std::uint64_t second, std::uint64_t third, const std::string &data)
{
    const std::array<std::uint64_t, 3> header{first, second, third};
    const XXH64_hash_t seed = XXH3_64bits(header.data(), sizeof(header));
    // SQLite integers are signed; the 64 bits are preserved.
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t entryChecksum(const Wire::LogEntry &entry)
{
    return checksum(entry.term(), entry.index(), static_cast<std::uint64_t>(entry.kind()), entry.data());
}

std::string generateReplicaId()
{
    static constexpr char Digits[] = "0123456789abcdef";
    static constexpr int IdDigits = 16;
    std::random_device device;
    std::string id = "r-";
    for (int digit = 0; digit < IdDigits; ++digit) {
        id += Digits[device() % 16];
    }
    return id;
}

constexpr const char *Schema = R"sql(
CREATE TABLE IF NOT EXISTS identity(group_id BLOB PRIMARY KEY, replica BLOB NOT NULL, checksum INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS hard_state(group_id BLOB PRIMARY KEY, term INTEGER, vote BLOB, last_index INTEGER, writes INTEGER, checksum INTEGER);
CREATE TABLE IF NOT EXISTS log(group_id BLOB, idx INTEGER, term INTEGER, kind INTEGER, data BLOB, checksum INTEGER, PRIMARY KEY(group_id, idx)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS snapshot(group_id BLOB PRIMARY KEY, idx INTEGER, term INTEGER, membership BLOB, size INTEGER, checksum INTEGER);
CREATE TABLE IF NOT EXISTS snapshot_piece(group_id BLOB, offset INTEGER, data BLOB, checksum INTEGER, PRIMARY KEY(group_id, offset));
)sql";

} // namespace

struct LogStore::Private {
    LogStoreOptions options;
    sqlite3 *database = nullptr;
    int writeCounterFile = -1;
    std::string replica;
    RaftHardState hardState;
    std::uint64_t lastIndex = 0;
    std::uint64_t writeCount = 0;
    std::uint64_t entryBytes = 0;
    std::uint64_t failedWrites = 0;
    /** What the database held when it was opened has been synced by this process. */
    bool isSynced = false;

    ~Private()
    {
        sqlite3_close(this->database);
        if (this->writeCounterFile >= 0) {
            ::close(this->writeCounterFile);
        }
    }

    StoreError error(StoreError::Code code, const std::string &what) const
    {
        return {.code = code, .message = what + " (folder " + this->options.folder + ")"};
    }

    StoreError ioError(const std::string &what) const
    {
        return this->error(StoreError::Code::Io, what + ": " + sqlite3_errmsg(this->database));
    }

    bool execute(const char *text) const
    {
        return sqlite3_exec(this->database, text, nullptr, nullptr, nullptr) == SQLITE_OK;
    }

    StoreResult<void> openDatabase();
    StoreResult<void> readIdentity();
    StoreResult<void> createIdentity();
    StoreResult<void> loadHardState();
    StoreResult<void> checkWriteCounter() const;
    StoreResult<std::optional<RaftSnapshot>> loadSnapshot();
    StoreResult<std::vector<Wire::LogEntry>> loadEntries();
    bool writeHardState();
    bool writeEntries(const std::vector<Wire::LogEntry> &entries);
    bool writeSnapshot(const RaftSnapshot &snapshot);
    bool dropEntriesBefore(std::uint64_t first);
    bool dropEntriesFrom(std::uint64_t first);
    bool updateWriteCounter() const;
    StoreResult<void> sync();
    StoreResult<void> transaction(const std::function<bool()> &write);
};

StoreResult<void> LogStore::Private::openDatabase()
{
    std::error_code failure;
    std::filesystem::create_directories(this->options.folder, failure);
    const std::filesystem::path folder(this->options.folder);
    if (sqlite3_open((folder / "replica.db").c_str(), &this->database) != SQLITE_OK) {
        return this->ioError("cannot open replica.db");
    }
    // The last connection to close would remove the write-ahead log, and a disk that is full takes no new file at the next start.
    int keepsWriteAheadLog = 1;
    const bool isKept = sqlite3_file_control(this->database, nullptr, SQLITE_FCNTL_PERSIST_WAL, &keepsWriteAheadLog) == SQLITE_OK;
    const bool ready = isKept && this->execute("PRAGMA locking_mode=EXCLUSIVE") && this->execute("PRAGMA journal_mode=WAL")
        && this->execute("PRAGMA synchronous=FULL") && this->execute(LimitWriteAheadLog) && this->execute(Schema);
    if (!ready) {
        return this->ioError("cannot configure replica.db or create its tables");
    }
    this->writeCounterFile = ::open((folder / "writes").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (this->writeCounterFile < 0) {
        return this->ioError("cannot open the write counter file 'writes'");
    }
    return boost::outcome_v2::success();
}

StoreResult<void> LogStore::Private::readIdentity()
{
    Statement query(this->database, "SELECT group_id, replica, checksum FROM identity");
    if (query.nextRow()) {
        const std::string group = query.bytes(0);
        this->replica = query.bytes(1);
        if (group != this->options.group) {
            return this->error(StoreError::Code::WrongGroup, "the data folder belongs to group " + group);
        }
        if (query.integer(2) != checksum(0, 0, 0, this->replica)) {
            return this->error(StoreError::Code::Corrupt, "checksum mismatch in the replica id");
        }
        return boost::outcome_v2::success();
    }
    return query.isDone() ? StoreResult<void>(boost::outcome_v2::success()) : this->ioError("cannot read the replica id");
}

StoreResult<void> LogStore::Private::createIdentity()
{
    this->replica = generateReplicaId();
    return this->transaction([this] {
        return Statement(this->database, "INSERT INTO identity VALUES(?, ?, ?)")
            .bind(1, this->options.group)
            .bind(2, this->replica)
            .bind(3, checksum(0, 0, 0, this->replica))
            .run();
    });
}

StoreResult<void> LogStore::Private::loadHardState()
{
    Statement query(this->database, "SELECT term, vote, last_index, writes, checksum FROM hard_state WHERE group_id = ?");
    query.bind(1, this->options.group);
    if (query.nextRow()) {
        this->hardState = {.term = query.integer(0), .vote = query.bytes(1)};
        this->lastIndex = query.integer(2);
        this->writeCount = query.integer(3);
        if (query.integer(4) != checksum(this->hardState.term, this->lastIndex, this->writeCount, this->hardState.vote)) {
            return this->error(StoreError::Code::Corrupt, "checksum mismatch in term and vote");
        }
        return this->checkWriteCounter();
    }
    return query.isDone() ? this->checkWriteCounter() : StoreResult<void>(this->ioError("cannot read term and vote"));
}

StoreResult<void> LogStore::Private::checkWriteCounter() const
{
    std::uint64_t recordedWrites = 0;
    const ssize_t bytesRead = ::pread(this->writeCounterFile, &recordedWrites, sizeof(recordedWrites), 0);
    // SQLite silently discards the damaged end of a write-ahead log. The counter, written after each sync, reveals the lost transactions.
    if (bytesRead == static_cast<ssize_t>(sizeof(recordedWrites)) && recordedWrites > this->writeCount) {
        return this->error(StoreError::Code::Corrupt,
                           "synced writes are missing: " + std::to_string(recordedWrites) + " were recorded, " + std::to_string(this->writeCount)
                               + " are in the database");
    }
    return boost::outcome_v2::success();
}

StoreResult<std::optional<RaftSnapshot>> LogStore::Private::loadSnapshot()
{
    Statement query(this->database, "SELECT idx, term, membership, size, checksum FROM snapshot WHERE group_id = ?");
    query.bind(1, this->options.group);
    if (!query.nextRow()) {
        return query.isDone() ? StoreResult<std::optional<RaftSnapshot>>(std::nullopt) : this->ioError("cannot read the snapshot");
    }
    RaftSnapshot snapshot{.index = query.integer(0), .term = query.integer(1), .membership = {}, .data = {}};
    const std::string membership = query.bytes(2);
    const std::uint64_t size = query.integer(3);
    if (query.integer(4) != checksum(snapshot.index, snapshot.term, size, membership) || !snapshot.membership.ParseFromString(membership)) {
        return this->error(StoreError::Code::Corrupt, "checksum mismatch in the snapshot header");
    }
    std::string data;
    Statement chunks(this->database, "SELECT offset, data, checksum FROM snapshot_piece WHERE group_id = ? ORDER BY offset");
    chunks.bind(1, this->options.group);
    while (chunks.nextRow()) {
        const std::string chunk = chunks.bytes(1);
        if (chunks.integer(0) != data.size() || chunks.integer(2) != checksum(snapshot.index, data.size(), 0, chunk)) {
            return this->error(StoreError::Code::Corrupt, "checksum mismatch or gap in the snapshot at byte " + std::to_string(data.size()));
        }
        data += chunk;
    }
    if (!chunks.isDone() || data.size() != size) {
        return this->error(StoreError::Code::Corrupt, "the snapshot is truncated or unreadable");
    }
    snapshot.data = std::make_shared<const std::string>(std::move(data));
    return std::optional<RaftSnapshot>(std::move(snapshot));
}

StoreResult<std::vector<Wire::LogEntry>> LogStore::Private::loadEntries()
{
    std::vector<Wire::LogEntry> entries;
    Statement query(this->database, "SELECT idx, term, kind, data, checksum FROM log WHERE group_id = ? ORDER BY idx");
    query.bind(1, this->options.group);
    while (query.nextRow()) {
        Wire::LogEntry entry;
        entry.set_index(query.integer(0));
        entry.set_term(query.integer(1));
        entry.set_kind(static_cast<Wire::EntryKind>(query.integer(2)));
        entry.set_data(query.bytes(3));
        if (query.integer(4) != entryChecksum(entry)) {
            return this->error(StoreError::Code::Corrupt, "log entry " + std::to_string(entry.index()) + " has a wrong checksum");
        }
        if (!entries.empty() && entry.index() != entries.back().index() + 1) {
            return this->error(StoreError::Code::Corrupt, "log entry " + std::to_string(entries.back().index() + 1) + " is missing");
        }
        entries.push_back(std::move(entry));
    }
    if (!query.isDone()) {
        return this->error(StoreError::Code::Corrupt, std::string("cannot read the log: ") + sqlite3_errmsg(this->database));
    }
    return entries;
}

bool LogStore::Private::writeHardState()
{
    return Statement(this->database, "INSERT OR REPLACE INTO hard_state VALUES(?, ?, ?, ?, ?, ?)")
        .bind(1, this->options.group)
        .bind(2, this->hardState.term)
        .bind(3, this->hardState.vote)
        .bind(4, this->lastIndex)
        .bind(5, this->writeCount)
        .bind(6, checksum(this->hardState.term, this->lastIndex, this->writeCount, this->hardState.vote))
        .run();
}

bool LogStore::Private::writeEntries(const std::vector<Wire::LogEntry> &entries)
{
    Statement insert(this->database, "INSERT INTO log VALUES(?, ?, ?, ?, ?, ?)");
    for (const Wire::LogEntry &entry : entries) {
        const bool written = insert.bind(1, this->options.group)
                                 .bind(2, entry.index())
                                 .bind(3, entry.term())
                                 .bind(4, static_cast<std::uint64_t>(entry.kind()))
                                 .bind(5, entry.data())
                                 .bind(6, entryChecksum(entry))
                                 .run();
        if (!written) {
            return false;
        }
        this->entryBytes += entry.data().size();
    }
    return true;
}

bool LogStore::Private::writeSnapshot(const RaftSnapshot &snapshot)
{
    const std::string empty;
    const std::string &data = snapshot.data ? *snapshot.data : empty;
    const std::string membership = snapshot.membership.SerializeAsString();
    bool written = Statement(this->database, "DELETE FROM snapshot_piece WHERE group_id = ?").bind(1, this->options.group).run();
    written = written
        && Statement(this->database, "INSERT OR REPLACE INTO snapshot VALUES(?, ?, ?, ?, ?, ?)")
               .bind(1, this->options.group)
               .bind(2, snapshot.index)
               .bind(3, snapshot.term)
               .bind(4, membership)
               .bind(5, static_cast<std::uint64_t>(data.size()))
               .bind(6, checksum(snapshot.index, snapshot.term, data.size(), membership))
               .run();
    Statement insert(this->database, "INSERT INTO snapshot_piece VALUES(?, ?, ?, ?)");
    for (std::size_t offset = 0; written && offset < data.size(); offset += SnapshotRowBytes) {
        const std::string chunk = data.substr(offset, SnapshotRowBytes);
        written = insert.bind(1, this->options.group)
                      .bind(2, static_cast<std::uint64_t>(offset))
                      .bind(3, chunk)
                      .bind(4, checksum(snapshot.index, offset, 0, chunk))
                      .run();
    }
    return written;
}

bool LogStore::Private::dropEntriesBefore(std::uint64_t first)
{
    return Statement(this->database, "DELETE FROM log WHERE group_id = ? AND idx < ?").bind(1, this->options.group).bind(2, first).run();
}

bool LogStore::Private::dropEntriesFrom(std::uint64_t first)
{
    return Statement(this->database, "DELETE FROM log WHERE group_id = ? AND idx >= ?").bind(1, this->options.group).bind(2, first).run();
}

bool LogStore::Private::updateWriteCounter() const
{
    // Not synced: after a power failure the counter may be behind the database, but it is never ahead of it.
    return ::pwrite(this->writeCounterFile, &this->writeCount, sizeof(this->writeCount), 0) == static_cast<ssize_t>(sizeof(this->writeCount));
}

StoreResult<void> LogStore::Private::sync()
{
    if (this->isSynced) {
        return boost::outcome_v2::success();
    }
    // A checkpoint syncs the write-ahead log, writes its pages to the database anew and syncs that.
    if ((this->options.beforeSync && !this->options.beforeSync()) || !this->execute("PRAGMA wal_checkpoint(TRUNCATE)")) {
        ++this->failedWrites;
        return this->ioError("cannot sync what the database held at its start");
    }
    this->isSynced = true;
    return boost::outcome_v2::success();
}

StoreResult<void> LogStore::Private::transaction(const std::function<bool()> &write)
{
    BOOST_OUTCOME_TRYV(this->sync());
    const std::uint64_t previousLastIndex = this->lastIndex;
    ++this->writeCount;
    const bool written = this->execute("BEGIN IMMEDIATE") && write() && this->writeHardState();
    if (!written || (this->options.beforeSync && !this->options.beforeSync()) || !this->execute("COMMIT")) {
        const StoreError failure = this->ioError(written ? "commit or sync failed" : "write failed");
        // SQLite rolls back by itself after some errors; the frames written so far are overwritten by the next transaction.
        this->execute("ROLLBACK");
        this->lastIndex = previousLastIndex;
        --this->writeCount;
        ++this->failedWrites;
        return failure;
    }
    if (!this->updateWriteCounter()) {
        ++this->failedWrites;
        return this->ioError("cannot write the write counter file 'writes'");
    }
    return boost::outcome_v2::success();
}

LogStore::LogStore(std::unique_ptr<Private> impl) : d(std::move(impl))
{ }

LogStore::~LogStore() = default;

StoreResult<std::unique_ptr<LogStore>> LogStore::open(LogStoreOptions options)
{
    auto impl = std::make_unique<Private>();
    impl->options = std::move(options);
    BOOST_OUTCOME_TRYV(impl->openDatabase());
    BOOST_OUTCOME_TRYV(impl->readIdentity());
    BOOST_OUTCOME_TRYV(impl->loadHardState());
    if (impl->replica.empty()) {
        BOOST_OUTCOME_TRYV(impl->createIdentity());
    }
    return std::unique_ptr<LogStore>(new LogStore(std::move(impl)));
}

const std::string &LogStore::replica() const
{
    return this->d->replica;
}

StoreResult<RaftPersistentState> LogStore::load()
{
    RaftPersistentState persistentState;
    persistentState.hardState = this->d->hardState;
    BOOST_OUTCOME_TRY(snapshot, this->d->loadSnapshot());
    BOOST_OUTCOME_TRY(entries, this->d->loadEntries());
    const std::uint64_t snapshotIndex = snapshot ? snapshot->index : 0;
    if (!entries.empty() && entries.front().index() > snapshotIndex + 1) {
        return this->d->error(StoreError::Code::Corrupt, "log entry " + std::to_string(snapshotIndex + 1) + " is missing");
    }
    const std::uint64_t last = entries.empty() ? snapshotIndex : std::max(snapshotIndex, entries.back().index());
    if (last != this->d->lastIndex) {
        return this->d->error(StoreError::Code::Corrupt,
                              "the log ends at " + std::to_string(last) + ", but entry " + std::to_string(this->d->lastIndex) + " was synced");
    }
    if (!entries.empty() && entries.back().index() < snapshotIndex) {
        entries.clear();
    }
    if (!entries.empty() && entries.front().index() <= snapshotIndex) {
        persistentState.baseTerm = entries.front().term();
        entries.erase(entries.begin());
    }
    persistentState.snapshot = std::move(snapshot);
    persistentState.entries = std::move(entries);
    return persistentState;
}

StoreResult<void> LogStore::sync()
{
    return this->d->sync();
}

void LogStore::reclaim()
{
    this->d->execute("PRAGMA wal_checkpoint(TRUNCATE)");
}

StoreResult<void> LogStore::save(const RaftOutput &output)
{
    const std::uint64_t lastBefore = output.snapshot ? output.snapshot->index : this->d->lastIndex;
    if (!output.entries.empty() && output.entries.front().index() > lastBefore + 1) {
        return this->d->error(StoreError::Code::Corrupt, "log entry " + std::to_string(lastBefore + 1) + " was not written");
    }
    const RaftHardState previous = std::exchange(this->d->hardState, output.hardState.value_or(this->d->hardState));
    StoreResult<void> saved = this->d->transaction([this, &output] {
        bool written = true;
        if (output.snapshot) {
            written = this->d->dropEntriesFrom(0) && this->d->writeSnapshot(*output.snapshot);
            this->d->lastIndex = output.snapshot->index;
        }
        if (!written || output.entries.empty()) {
            return written;
        }
        if (output.entries.front().index() <= this->d->lastIndex && !this->d->dropEntriesFrom(output.entries.front().index())) {
            return false;
        }
        this->d->lastIndex = output.entries.back().index();
        return this->d->writeEntries(output.entries);
    });
    if (!saved) {
        this->d->hardState = previous;
    }
    return saved;
}

StoreResult<void> LogStore::compact(const RaftSnapshot &snapshot, std::uint64_t firstRetained)
{
    return this->d->transaction([this, &snapshot, firstRetained] {
        // One more entry is retained because load() needs the term of the entry before the first one.
        return this->d->writeSnapshot(snapshot) && this->d->dropEntriesBefore(firstRetained > 0 ? firstRetained - 1 : 0);
    });
}

std::uint64_t LogStore::syncCount() const
{
    return this->d->writeCount;
}

std::uint64_t LogStore::failedWrites() const
{
    return this->d->failedWrites;
}

std::uint64_t LogStore::entryBytes() const
{
    return this->d->entryBytes;
}

} // namespace Apricothead
