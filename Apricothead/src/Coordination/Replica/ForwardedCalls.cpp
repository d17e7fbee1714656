#include "ForwardedCalls.h"

#include <utility>

namespace Apricothead {
namespace {

/** Marks the message as forwarded under \a number. \returns the number that its sender gave it */
std::uint64_t markForwarded(Wire::Envelope &message, std::uint64_t number)
{
    const auto mark = [number](auto *body) {
        const std::uint64_t former = body->call();
        body->set_call(number);
        body->set_forwarded(true);
        return former;
    };
    if (message.has_propose()) {
        return mark(message.mutable_propose());
    }
    if (message.has_query()) {
        return mark(message.mutable_query());
    }
    return mark(message.mutable_change_members());
}

/** Calls \a use with the body of a reply. */
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

Wire::Error leaderSilent()
{
    Wire::Error error;
    error.set_code(Wire::ERROR_CODE_UNAVAILABLE);
    error.set_message("the leader did not answer");
    error.set_remedy("ask again");
    return error;
}

} // namespace

ForwardedCalls::ForwardedCalls(ReplicaLinks &replicaLinks, std::uint64_t wait) : links(replicaLinks), waitMs(wait)
{ }

bool ForwardedCalls::forward(const PeerId &peer, Wire::Envelope message, const std::string &leaderAddress, std::uint64_t nowMs)
{
    if (leaderAddress.empty()) {
        return false;
    }
    const std::uint64_t number = this->nextNumber++;
    const std::uint64_t former = markForwarded(message, number);
    if (!this->links.sendTo(leaderAddress, message)) {
        return false;
    }
    this->calls[number] = {.peer = peer, .number = former, .address = leaderAddress, .deadlineMs = nowMs + this->waitMs, .kind = message.body_case()};
    return true;
}

void ForwardedCalls::takeReply(Wire::Envelope message)
{
    std::uint64_t number = 0;
    withReplyBody(message, [&number](auto *body) {
        number = body->call();
    });
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    this->calls.erase(found);
    withReplyBody(message, [&call](auto *body) {
        body->set_call(call.number);
    });
    this->links.reply(call.peer, message);
}

void ForwardedCalls::dropAddress(const std::string &address)
{
    this->drop([&address](const Call &call) {
        return call.address == address;
    });
}

void ForwardedCalls::expire(std::uint64_t nowMs)
{
    this->drop([nowMs](const Call &call) {
        return nowMs >= call.deadlineMs;
    });
}

void ForwardedCalls::drop(const std::function<bool(const Call &)> &lost)
{
    for (auto call = this->calls.begin(); call != this->calls.end();) {
        if (!lost(call->second)) {
            ++call;
            continue;
        }
        this->replyLost(call->second);
        call = this->calls.erase(call);
    }
}

void ForwardedCalls::replyLost(const Call &call)
{
    Wire::Envelope message = this->links.envelope();
    if (call.kind == Wire::Envelope::kPropose) {
        // The leader may have appended it.
        message.mutable_propose_reply()->set_call(call.number);
        message.mutable_propose_reply()->set_status(Wire::PROPOSE_STATUS_UNKNOWN);
    } else if (call.kind == Wire::Envelope::kQuery) {
        message.mutable_query_reply()->set_call(call.number);
        *message.mutable_query_reply()->mutable_error() = leaderSilent();
    } else {
        message.mutable_change_members_reply()->set_call(call.number);
        *message.mutable_change_members_reply()->mutable_error() = leaderSilent();
    }
    this->links.reply(call.peer, message);
}

} // namespace Apricothead
