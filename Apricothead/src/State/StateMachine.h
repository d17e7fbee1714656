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
 * \brief Settings of a state machine. They must be equal on every replica of a group.
 */
struct StateMachineOptions {
    std::string group = "main";
    /** Time in ms from the last change of an ended record until it is retired. */
    std::int64_t recordRetentionMs = 24LL * 3600 * 1000;
    /** Time in ms for which the answer to a command id is kept. */
    std::int64_t answerRetentionMs = 7LL * 24 * 3600 * 1000;
    /** Time in ms from the last use of a session until its binding is dropped. */
    std::int64_t sessionRetentionMs = 30LL * 24 * 3600 * 1000;
};

/** \class StateMachine
 * \ingroup State_Module
 * \brief Deterministic state machine of configuration, sessions, request records and ledger.
 *
 * The state depends on the log alone: the machine reads no clock and draws no random numbers, and time comes from Command::time_ms.
 * \sa ReplicaTask
 */
class StateMachine
{
public:
    explicit StateMachine(StateMachineOptions options);
    ~StateMachine();
    StateMachine(const StateMachine &) = delete;
    StateMachine &operator=(const StateMachine &) = delete;

    /** Applies the command at log position \a index. \returns its result, which is the same on every replica */
    Wire::CommandResult apply(const Wire::Command &command, std::uint64_t index);

    /** \returns a serialised StateSnapshot; equal states serialise to equal bytes */
    std::string snapshot() const;

    /** Replaces the state by a snapshot. \returns false, with the state unchanged, when \a bytes is not a snapshot of this group */
    bool restore(std::string_view bytes);

    const Wire::Configuration &configuration() const;
    /** \returns the current service plan and roll-outs */
    const Wire::ServingState &serving() const;
    /** \returns the billing totals of \a organisation on \a day (YYYY-MM-DD, UTC); an empty argument matches all */
    std::vector<Wire::LedgerDay> ledger(std::string_view organisation, std::string_view day) const;
    /** \returns the record of \a key, with RECORD_STATE_RETIRED and no details for a retired key, with RECORD_STATE_UNSPECIFIED for an unknown one */
    Wire::RequestRecord record(const Wire::RequestKey &key) const;
    std::size_t sessionCount() const;
    std::size_t recordCount() const;
    std::size_t retiredKeyCount() const;
    std::uint64_t appliedIndex() const;

    /**
     * \returns the records that the leader settles as lost: those admitted on an endpoint incarnation that has ended or is lost, and those
     * abandoned more than a minute ago of which an earlier attempt may have run
     */
    std::vector<Wire::RequestRecord> orphans() const;

    /** \returns the newest known incarnation of each endpoint process; one marked lost gets no work until it is recorded again without the mark */
    std::vector<Wire::EndpointIncarnation> incarnations() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
