#include "RunBuffer.h"

#include <algorithm>
#include <limits>

namespace Apricothead {
namespace {

/** Memory used per chunk in addition to its text. */
constexpr std::size_t ChunkOverheadBytes = 64;

/** What a reader with credit may leave unacknowledged. An entry acknowledges half of it at the latest, so that it never waits for more. */
constexpr std::size_t MaxUnacknowledgedBytes = 512 * 1024;

std::size_t chunkBytes(const std::string &chunk)
{
    return chunk.size() + ChunkOverheadBytes;
}

std::uint64_t creditLimit(std::uint64_t fromChunk, std::uint32_t credit)
{
    // Without a credit the entry accepts all chunks.
    return credit == 0 ? std::numeric_limits<std::uint64_t>::max() : fromChunk + credit;
}

} // namespace

std::uint64_t RunBuffer::Answer::endChunk() const
{
    return this->firstChunk + this->chunks.size();
}

RunBuffer::RunBuffer(RunBufferOptions bufferOptions) : options(bufferOptions)
{ }

void RunBuffer::open(const RunId &id)
{
    Answer &answer = this->answers[id];
    answer.sequence = this->nextSequence++;
}

void RunBuffer::setHead(const RunId &id, Wire::RunStarted head)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    found->second.head = std::move(head);
}

void RunBuffer::append(const RunId &id, std::string data)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    Answer &answer = found->second;
    if (answer.discarded) {
        ++answer.firstChunk;
        return;
    }
    this->bufferedBytes += chunkBytes(data);
    answer.chunks.push_back(std::move(data));
}

void RunBuffer::finish(const RunId &id, Wire::RunDone done, std::uint64_t nowMs)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    done.set_chunks(found->second.endChunk());
    found->second.done = std::move(done);
    found->second.endedAtMs = nowMs;
}

void RunBuffer::recordSettled(const RunId &id)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    found->second.settled = true;
}

void RunBuffer::remove(const RunId &id)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    this->releaseChunks(found->second, found->second.chunks.size());
    this->answers.erase(found);
}

bool RunBuffer::attach(const RunId &id, const std::string &reader, std::uint64_t fromChunk, std::uint32_t credit)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end() || found->second.discarded || fromChunk < found->second.firstChunk) {
        return false;
    }
    found->second.readers[reader] = {.sendNext = fromChunk,
                                     .acknowledged = fromChunk,
                                     .limit = creditLimit(fromChunk, credit),
                                     .unacknowledgedBytes = 0,
                                     .headSent = false,
                                     .doneSent = false};
    return true;
}

void RunBuffer::grantCredit(const RunId &id, const std::string &reader, std::uint64_t nextChunk, std::uint32_t credit)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    Answer &answer = found->second;
    const auto attached = answer.readers.find(reader);
    if (attached == answer.readers.end()) {
        return;
    }
    Reader &state = attached->second;
    for (; state.acknowledged < std::min(nextChunk, state.sendNext); ++state.acknowledged) {
        state.unacknowledgedBytes -= answer.chunks[state.acknowledged - answer.firstChunk].size();
    }
    if (credit > 0) {
        state.limit = std::max(state.limit, creditLimit(nextChunk, credit));
    }
    if (state.doneSent && state.acknowledged >= answer.endChunk()) {
        answer.delivered = true;
    }
}

void RunBuffer::detach(const RunId &id, const std::string &reader, std::uint64_t nowMs)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    found->second.readers.erase(reader);
    found->second.detachedSinceMs = nowMs;
}

std::vector<RunId> RunBuffer::detachAll(const std::string &reader, std::uint64_t nowMs)
{
    std::vector<RunId> detachedRuns;
    for (auto &[id, answer] : this->answers) {
        if (answer.readers.erase(reader) == 0) {
            continue;
        }
        answer.detachedSinceMs = nowMs;
        detachedRuns.push_back(id);
    }
    return detachedRuns;
}

std::optional<Wire::Envelope> RunBuffer::nextMessage(const RunId &id, const std::string &reader) const
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end() || found->second.discarded) {
        return std::nullopt;
    }
    const Answer &answer = found->second;
    const auto attached = answer.readers.find(reader);
    if (attached == answer.readers.end() || attached->second.doneSent) {
        return std::nullopt;
    }
    const Reader &state = attached->second;
    Wire::Envelope envelope;
    if (answer.head.has_value() && !state.headSent) {
        *envelope.mutable_run_started() = *answer.head;
        return envelope;
    }
    if (state.sendNext < answer.firstChunk) {
        return std::nullopt;
    }
    if (state.sendNext < answer.endChunk()) {
        const bool isBounded = state.limit != std::numeric_limits<std::uint64_t>::max();
        if (state.sendNext >= state.limit || (isBounded && state.unacknowledgedBytes >= MaxUnacknowledgedBytes)) {
            return std::nullopt;
        }
        Wire::Chunk *chunk = envelope.mutable_chunk();
        *chunk->mutable_key() = requestKey(id);
        chunk->set_attempt(id.attempt);
        chunk->set_number(state.sendNext);
        chunk->set_data(answer.chunks[state.sendNext - answer.firstChunk]);
        return envelope;
    }
    if (answer.done.has_value()) {
        *envelope.mutable_run_done() = *answer.done;
        return envelope;
    }
    return std::nullopt;
}

void RunBuffer::advance(const RunId &id, const std::string &reader)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return;
    }
    Answer &answer = found->second;
    const auto attached = answer.readers.find(reader);
    if (attached == answer.readers.end()) {
        return;
    }
    Reader &state = attached->second;
    if (answer.head.has_value() && !state.headSent) {
        state.headSent = true;
        return;
    }
    if (state.sendNext < answer.endChunk()) {
        state.unacknowledgedBytes += answer.chunks[state.sendNext - answer.firstChunk].size();
        ++state.sendNext;
        return;
    }
    state.doneSent = true;
    if (state.acknowledged >= answer.endChunk()) {
        answer.delivered = true;
    }
}

bool RunBuffer::canStream(const RunId &id, std::uint64_t nowMs)
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end() || this->evictDelivered()) {
        return true;
    }
    Answer &answer = found->second;
    if (!this->isOldestRunning(answer)) {
        return false;
    }
    if (answer.discarded) {
        return true;
    }
    if (!answer.readers.empty()) {
        this->releaseAcknowledged(answer);
        return this->bufferedBytes < this->options.maxBytes;
    }
    const auto retentionMs = static_cast<std::uint64_t>(this->options.answerRetention.count());
    if (nowMs - answer.detachedSinceMs < retentionMs) {
        return false;
    }
    // No entry attached again within the retention period: the run continues without its answer, so that its usage can be settled.
    this->releaseChunks(answer, answer.chunks.size());
    answer.discarded = true;
    return true;
}

std::vector<RunId> RunBuffer::expire(std::uint64_t nowMs)
{
    const auto retentionMs = static_cast<std::uint64_t>(this->options.answerRetention.count());
    std::vector<RunId> expired;
    expired.swap(this->evicted);
    for (auto each = this->answers.begin(); each != this->answers.end();) {
        Answer &answer = each->second;
        const bool isExpired = answer.done.has_value() && answer.settled && nowMs - answer.endedAtMs >= retentionMs;
        if (!isExpired) {
            ++each;
            continue;
        }
        this->releaseChunks(answer, answer.chunks.size());
        expired.push_back(each->first);
        each = this->answers.erase(each);
    }
    return expired;
}

std::vector<std::string> RunBuffer::readers(const RunId &id) const
{
    std::vector<std::string> names;
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return names;
    }
    for (const auto &[name, state] : found->second.readers) {
        names.push_back(name);
    }
    return names;
}

bool RunBuffer::hasReaders(const RunId &id) const
{
    const auto found = this->answers.find(id);
    return found != this->answers.end() && !found->second.readers.empty();
}

std::vector<RunId> RunBuffer::runsWithPendingReaders() const
{
    std::vector<RunId> runs;
    for (const auto &[id, answer] : this->answers) {
        const bool isOpen = std::any_of(answer.readers.begin(), answer.readers.end(), [](const auto &each) {
            return !each.second.doneSent;
        });
        if (!isOpen) {
            continue;
        }
        runs.push_back(id);
    }
    return runs;
}

std::optional<Wire::RunDone> RunBuffer::done(const RunId &id) const
{
    const auto found = this->answers.find(id);
    return found == this->answers.end() ? std::nullopt : found->second.done;
}

bool RunBuffer::isRetained(const RunId &id) const
{
    const auto found = this->answers.find(id);
    return found != this->answers.end() && !found->second.discarded;
}

bool RunBuffer::isAllDelivered() const
{
    return std::all_of(this->answers.begin(), this->answers.end(), [](const auto &each) {
        return each.second.done.has_value() && each.second.settled && (each.second.delivered || each.second.discarded);
    });
}

std::size_t RunBuffer::bytes() const
{
    return this->bufferedBytes;
}

void RunBuffer::releaseChunks(Answer &answer, std::size_t count)
{
    for (std::size_t released = 0; released < count; ++released) {
        this->bufferedBytes -= chunkBytes(answer.chunks.front());
        answer.chunks.pop_front();
        ++answer.firstChunk;
    }
}

void RunBuffer::releaseAcknowledged(Answer &answer)
{
    std::uint64_t acknowledgedByAll = answer.endChunk();
    for (const auto &[name, state] : answer.readers) {
        acknowledgedByAll = std::min(acknowledgedByAll, state.acknowledged);
    }
    if (acknowledgedByAll > answer.firstChunk) {
        this->releaseChunks(answer, acknowledgedByAll - answer.firstChunk);
    }
}

bool RunBuffer::isOldestRunning(const Answer &answer) const
{
    return std::none_of(this->answers.begin(), this->answers.end(), [&](const auto &each) {
        return !each.second.done.has_value() && each.second.sequence < answer.sequence;
    });
}

bool RunBuffer::evictDelivered()
{
    while (this->bufferedBytes >= this->options.maxBytes) {
        auto oldest = this->answers.end();
        for (auto each = this->answers.begin(); each != this->answers.end(); ++each) {
            if (!each->second.settled || !each->second.delivered || each->second.chunks.empty()) {
                continue;
            }
            if (oldest == this->answers.end() || each->second.endedAtMs < oldest->second.endedAtMs) {
                oldest = each;
            }
        }
        if (oldest == this->answers.end()) {
            return false;
        }
        this->releaseChunks(oldest->second, oldest->second.chunks.size());
        this->evicted.push_back(oldest->first);
        this->answers.erase(oldest);
    }
    return true;
}

} // namespace Apricothead
