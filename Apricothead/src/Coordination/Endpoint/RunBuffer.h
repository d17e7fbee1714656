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
 * \brief Limits of a RunBuffer.
 */
struct RunBufferOptions {
    /** Limit on the bytes buffered over all runs; at the limit the streams of the engine are paused. */
    std::size_t maxBytes = 8 * 1024 * 1024;
    /** An ended answer is kept for replay for this long, or less when the buffer is full and an entry has received all of it. */
    std::chrono::milliseconds answerRetention{30000};
};

/** \class RunBuffer
 * \ingroup Coordination_Module
 * \brief Buffers the numbered chunks of all runs of an endpoint process, for delivery and replay to several entries.
 *
 * At the limit, canStream() lets only the oldest run continue and discards the chunks that all its readers have acknowledged, so that one run
 * can always proceed. Does not read a clock: times are milliseconds of the endpoint process's own monotonic clock.
 */
class RunBuffer
{
public:
    explicit RunBuffer(RunBufferOptions options);

    void open(const RunId &id);
    void setHead(const RunId &id, Wire::RunStarted head);
    void append(const RunId &id, std::string data);
    void finish(const RunId &id, Wire::RunDone done, std::uint64_t nowMs);
    /** Records that the settlement of the run is committed. */
    void recordSettled(const RunId &id);
    /** Removes a run that produced no answer. */
    void remove(const RunId &id);

    /** Adds \a reader from chunk \a fromChunk on. \returns false when the run is unknown or that chunk is no longer kept */
    bool attach(const RunId &id, const std::string &reader, std::uint64_t fromChunk, std::uint32_t credit);
    /** Acknowledges all chunks below \a nextChunk for \a reader, and allows \a credit more from there on. */
    void grantCredit(const RunId &id, const std::string &reader, std::uint64_t nextChunk, std::uint32_t credit);
    void detach(const RunId &id, const std::string &reader, std::uint64_t nowMs);
    /** \returns the runs that \a reader was attached to */
    std::vector<RunId> detachAll(const std::string &reader, std::uint64_t nowMs);

    /** \returns the next message for \a reader: head, chunk or end; nothing while it has no credit or no message is available */
    std::optional<Wire::Envelope> nextMessage(const RunId &id, const std::string &reader) const;
    /** Records that the message of nextMessage() was queued on the link. */
    void advance(const RunId &id, const std::string &reader);

    /** Makes room when the buffer is full. \returns whether the engine's stream of \a id may continue */
    bool canStream(const RunId &id, std::uint64_t nowMs);

    /** Removes settled answers whose retention period has ended. \returns their runs, and those evicted since the last call */
    std::vector<RunId> expire(std::uint64_t nowMs);

    std::vector<std::string> readers(const RunId &id) const;
    bool hasReaders(const RunId &id) const;
    /** \returns the runs with an attached entry to which the end has not been sent */
    std::vector<RunId> runsWithPendingReaders() const;
    /** \returns the end of the run, nothing while it is in progress or when it is unknown */
    std::optional<Wire::RunDone> done(const RunId &id) const;
    bool isRetained(const RunId &id) const;
    /** \returns true when all runs have ended and are settled, and each answer was fully received by some entry or discarded */
    bool isAllDelivered() const;
    std::size_t bytes() const;

private:
    struct Reader {
        std::uint64_t sendNext = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t limit = 0;
        std::size_t unacknowledgedBytes = 0;
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
    /** Evicts delivered answers until the buffer is below its limit. \returns false when it stays full */
    bool evictDelivered();

    RunBufferOptions options;
    std::map<RunId, Answer> answers;
    std::vector<RunId> evicted;
    std::size_t bufferedBytes = 0;
    std::uint64_t nextSequence = 0;
};

} // namespace Apricothead
