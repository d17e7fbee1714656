#include "GroupSetup.h"

#include "../../State/RaftLog.h"
#include "../../State/StateMachine.h"

#include <algorithm>

namespace Apricothead {

namespace {

Wire::Membership soleMember(const Settings &settings, const std::string &replica)
{
    Wire::Membership membership;
    Wire::Member *member = membership.add_members();
    member->set_replica(replica);
    member->set_address(settings.replica->address);
    member->set_availability_zone(settings.availabilityZone);
    return membership;
}

bool holdsGroup(const RaftPersistentState &stored)
{
    return stored.snapshot || !stored.entries.empty();
}

StoreResult<std::unique_ptr<LogStore>> openStore(const Settings &settings)
{
    if (!settings.replica) {
        return StoreError{.code = StoreError::Code::WrongGroup, .message = "the settings name no replica role"};
    }
    return LogStore::open({.folder = settings.replica->dataFolder, .group = settings.group});
}

} // namespace

StoreResult<std::string> initGroup(const Settings &settings)
{
    BOOST_OUTCOME_TRY(store, openStore(settings));
    BOOST_OUTCOME_TRY(stored, store->load());
    if (holdsGroup(stored)) {
        return StoreError{.code = StoreError::Code::WrongGroup, .message = "the data folder already holds a group"};
    }
    const StateMachine empty({.group = settings.group});
    RaftOutput first;
    first.hardState = RaftHardState{.term = 1, .vote = {}};
    first.snapshot = RaftSnapshot{
        .index = 1,
        .term = 1,
        .membership = soleMember(settings, store->replica()),
        .data = std::make_shared<const std::string>(empty.snapshot()),
    };
    BOOST_OUTCOME_TRYV(store->save(first));
    return store->replica();
}

StoreResult<std::uint64_t> recoverGroup(const Settings &settings, const std::string &confirmation)
{
    BOOST_OUTCOME_TRY(store, openStore(settings));
    BOOST_OUTCOME_TRY(stored, store->load());
    if (!holdsGroup(stored)) {
        return StoreError{.code = StoreError::Code::WrongGroup, .message = "the data folder holds no group"};
    }
    if (confirmation != store->replica()) {
        return StoreError{
            .code = StoreError::Code::NotConfirmed,
            .message
            = "recover removes all other replicas and discards acknowledged changes that this one lacks; confirm with its identity " + store->replica(),
        };
    }
    const RaftLog log(stored);
    RaftOutput change;
    change.hardState = RaftHardState{.term = stored.hardState.term + 1, .vote = {}};
    Wire::LogEntry entry;
    entry.set_term(change.hardState->term);
    entry.set_index(log.lastIndex() + 1);
    entry.set_kind(Wire::ENTRY_KIND_MEMBERSHIP);
    Wire::Membership membership = soleMember(settings, store->replica());
    membership.set_recoveries(log.membership().recoveries() + 1);
    entry.set_data(membership.SerializeAsString());
    change.entries.push_back(std::move(entry));
    BOOST_OUTCOME_TRYV(store->save(change));
    return log.lastIndex();
}

} // namespace Apricothead
