#pragma once

#include "../../Protocol/RunId.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class RunBufferOptions
 * \ingroup Coordination_Module
 * \brief Bounds of a RunBuffer.
 */
struct RunBufferOptions {
    /** Bytes kept over all runs; the engines' streams are slowed at the bound. */
    std::size_t maxBytes = 8 * 1024 * 1024;
    /** An ended answer is kept for replay this long, or less when room is needed and an entry has all of it. */
    std::chrono::milliseconds answerRetention{30000};
};

/** \class RunBuffer
 * \ingroup Coordination_Module
 * \brief The numbered chunks of all runs of an endpoint process, for delivery and replay to several entries.
 *
 * At the bound, canStream() lets only the oldest run go on; it then gives up chunks that its readers have, so that one run always proceeds.
 * Reads no clock: times are milliseconds of the endpoint process's own monotonic clock.
 */
class RunBuffer
{
public:
    explicit RunBuffer(RunBufferOptions options);

    void open(const RunId &id);
    void setHead(const RunId &id, Wire::RunStarted head);
    void append(const RunId &id, std::string data);
    void finish(const RunId &id, Wire::RunDone done, std::uint64_t nowMs);
    /** The bill of the run is committed. */
    void recordSettled(const RunId &id);
    /** Removes a run that has no answer. */
    void remove(const RunId &id);

    /** \returns false when the run is unknown or chunk \a fromChunk is no longer kept */
    bool attach(const RunId &id, const std::string &reader, std::uint64_t fromChunk, std::uint32_t credit);
    /** \a reader has all chunks below \a nextChunk and takes \a credit more from there. */
    void grantCredit(const RunId &id, const std::string &reader, std::uint64_t nextChunk, std::uint32_t credit);
    void detach(const RunId &id, const std::string &reader, std::uint64_t nowMs);
    /** \returns the runs that \a reader was attached to */
    std::vector<RunId> detachAll(const std::string &reader, std::uint64_t nowMs);

    /** \returns the message that \a reader is to get next: head, chunk or end; nothing while it has no credit or nothing is there */
    std::optional<Wire::Envelope> nextMessage(const RunId &id, const std::string &reader) const;
    /** The message of nextMessage() was taken by the link. */
    void advance(const RunId &id, const std::string &reader);

    /** \returns whether the engine's stream of \a id may go on */
    bool canStream(const RunId &id, std::uint64_t nowMs);

    /** Gives up answers that need not be kept longer. \returns their runs */
    std::vector<RunId> expire(std::uint64_t nowMs);

    std::vector<std::string> readers(const RunId &id) const;
    bool hasReaders(const RunId &id) const;
    /** \returns the runs that some entry is attached to and has not all of */
    std::vector<RunId> runsWithPendingReaders() const;
    /** \returns how the run ended, nothing while it goes on or when it is unknown */
    std::optional<Wire::RunDone> done(const RunId &id) const;
    bool isRetained(const RunId &id) const;
    /** \returns true when some entry has all of every ended answer, and every bill is committed */
    bool isAllDelivered() const;
    std::size_t bytes() const;

private:
    struct Reader {
        std::uint64_t sendNext = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t limit = 0;
        bool headSent = false;
        bool doneSent = false;
    };
    struct Answer {
        std::uint64_t sequence = 0;
        std::optional<Wire::RunStarted> head;
        std::deque<std::string> chunks;
        std::uint64_t firstChunk = 0;
        std::optional<Wire::RunDone> done;
        std::uint64_t endedAtMs = 0;
        std::uint64_t detachedSinceMs = 0;
        std::map<std::string, Reader> readers;
        bool settled = false;
        bool delivered = false;
        bool discarded = false;

        std::uint64_t endChunk() const;
    };

    void releaseChunks(Answer &answer, std::size_t count);
    void releaseAcknowledged(Answer &answer);
    bool isOldestRunning(const Answer &answer) const;
    bool evictDelivered();

    RunBufferOptions options;
    std::map<RunId, Answer> answers;
    std::vector<RunId> evicted;
    std::size_t bufferedBytes = 0;
    std::uint64_t nextSequence = 0;
};

} // namespace Apricothead
