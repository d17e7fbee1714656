#include "ForwardedCalls.h"

#include <utility>

namespace Apricothead {
namespace {

/** Marks the message as forwarded with the call id \a id. \returns the call id given by its sender */
std::uint64_t markForwarded(Wire::Envelope &message, std::uint64_t id)
{
    const auto mark = [id](auto *body) {
        const std::uint64_t originalId = body->call();
        body->set_call(id);
        body->set_forwarded(true);
        return originalId;
    };
    if (message.has_propose()) {
        return mark(message.mutable_propose());
    }
    if (message.has_query()) {
        return mark(message.mutable_query());
    }
    return mark(message.mutable_change_members());
}

/** Calls \a use with the body of the reply. */
template <typename Use>
void withReplyBody(Wire::Envelope &reply, Use use)
{
    if (reply.has_propose_reply()) {
        use(reply.mutable_propose_reply());
    } else if (reply.has_query_reply()) {
        use(reply.mutable_query_reply());
    } else {
        use(reply.mutable_change_members_reply());
    }
}

Wire::Error leaderUnresponsive()
{
    Wire::Error error;
    error.set_code(Wire::ERROR_CODE_UNAVAILABLE);
    error.set_message("the leader did not answer");
    error.set_remedy("try again");
    return error;
}

} // namespace

ForwardedCalls::ForwardedCalls(ReplicaLinks &replicaLinks, std::uint64_t timeout) : links(replicaLinks), timeoutMs(timeout)
{ }

bool ForwardedCalls::forward(const PeerId &peer, Wire::Envelope message, const std::string &leaderAddress, std::uint64_t nowMs)
{
    if (leaderAddress.empty()) {
        return false;
    }
    const std::uint64_t id = this->nextId++;
    const std::uint64_t originalId = markForwarded(message, id);
    if (!this->links.sendTo(leaderAddress, message)) {
        return false;
    }
    const std::uint32_t sending = message.has_propose() ? message.propose().sending() : 0;
    this->calls[id]
        = {.peer = peer, .id = originalId, .sending = sending, .address = leaderAddress, .deadlineMs = nowMs + this->timeoutMs, .kind = message.body_case()};
    return true;
}

void ForwardedCalls::handleReply(Wire::Envelope message)
{
    std::uint64_t id = 0;
    withReplyBody(message, [&id](auto *body) {
        id = body->call();
    });
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    this->calls.erase(found);
    withReplyBody(message, [&call](auto *body) {
        body->set_call(call.id);
    });
    if (message.has_propose_reply()) {
        // A leader of an earlier version names no sending.
        message.mutable_propose_reply()->set_sending(call.sending);
    }
    this->links.reply(call.peer, message);
}

void ForwardedCalls::failCallsTo(const std::string &address)
{
    this->failCalls([&address](const Call &call) {
        return call.address == address;
    });
}

void ForwardedCalls::expire(std::uint64_t nowMs)
{
    this->failCalls([nowMs](const Call &call) {
        return nowMs >= call.deadlineMs;
    });
}

void ForwardedCalls::failCalls(const std::function<bool(const Call &)> &isLost)
{
    for (auto call = this->calls.begin(); call != this->calls.end();) {
        if (!isLost(call->second)) {
            ++call;
            continue;
        }
        this->sendFailureReply(call->second);
        call = this->calls.erase(call);
    }
}

void ForwardedCalls::sendFailureReply(const Call &call)
{
    Wire::Envelope message = this->links.envelope();
    if (call.kind == Wire::Envelope::kPropose) {
        // The leader may have appended the command.
        message.mutable_propose_reply()->set_call(call.id);
        message.mutable_propose_reply()->set_sending(call.sending);
        message.mutable_propose_reply()->set_status(Wire::PROPOSE_STATUS_UNKNOWN);
    } else if (call.kind == Wire::Envelope::kQuery) {
        message.mutable_query_reply()->set_call(call.id);
        *message.mutable_query_reply()->mutable_error() = leaderUnresponsive();
    } else {
        message.mutable_change_members_reply()->set_call(call.id);
        *message.mutable_change_members_reply()->mutable_error() = leaderUnresponsive();
    }
    this->links.reply(call.peer, message);
}

} // namespace Apricothead
