#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class StateMachineOptions
 * \ingroup State_Module
 * \brief Bounds that must be the same on every replica of a group.
 */
struct StateMachineOptions {
    std::string group = "main";
    /** Ended records are retired this long after their last change. */
    std::int64_t recordRetentionMs = 24LL * 3600 * 1000;
    /** Answers to command ids are kept this long. */
    std::int64_t answerRetentionMs = 7LL * 24 * 3600 * 1000;
    /** Bindings of sessions unused for this long are dropped. */
    std::int64_t sessionRetentionMs = 30LL * 24 * 3600 * 1000;
};

/** \class StateMachine
 * \ingroup State_Module
 * \brief Configuration, sessions, request records and ledger, as a function of the log alone.
 *
 * Reads no clock and draws no random numbers: time comes from Command::time_ms.
 * \sa ReplicaTask
 */
class StateMachine
{
public:
    explicit StateMachine(StateMachineOptions options);
    ~StateMachine();
    StateMachine(const StateMachine &) = delete;
    StateMachine &operator=(const StateMachine &) = delete;

    /** Applies the command at log position \a index. \returns its answer, which is the same on every replica */
    Wire::CommandResult apply(const Wire::Command &command, std::uint64_t index);

    /** \returns a serialised StateSnapshot; equal states give equal bytes */
    std::string snapshot() const;

    /** Replaces the state. \returns false when \a bytes are no snapshot of this group; the state is unchanged then */
    bool restore(std::string_view bytes);

    const Wire::Configuration &configuration() const;
    /** \returns the plan of services and the roll-outs in force */
    const Wire::ServingState &serving() const;
    std::vector<Wire::LedgerDay> ledger(std::string_view organisation, std::string_view day) const;
    /** \returns the record, or one with RECORD_STATE_UNSPECIFIED when there is none */
    Wire::RequestRecord record(const Wire::RequestKey &key) const;
    std::size_t sessionCount() const;
    std::size_t recordCount() const;
    std::size_t retiredKeyCount() const;
    std::uint64_t appliedIndex() const;

    /**
     * \returns records for the leader to settle as lost: those admitted by an endpoint incarnation that is known to be gone, and those
     * abandoned a minute ago of which an earlier attempt may have run
     */
    std::vector<Wire::RequestRecord> orphans() const;

    /** \returns the newest known incarnation of each endpoint process; one marked lost gets no work until it is named again without the mark */
    std::vector<Wire::EndpointIncarnation> incarnations() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
