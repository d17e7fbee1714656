#include "RunRegistry.h"

#include "StepRun.h"

#include <optional>

namespace Apricothead {
namespace {

struct RunAttempt {
    const Wire::RequestKey *key = nullptr;
    unsigned attempt = 0;
};

std::optional<RunAttempt> runAttemptOf(const Wire::Envelope &message)
{
    switch (message.body_case()) {
    case Wire::Envelope::kRunStarted:
        return RunAttempt{.key = &message.run_started().key(), .attempt = message.run_started().attempt()};
    case Wire::Envelope::kChunk:
        return RunAttempt{.key = &message.chunk().key(), .attempt = message.chunk().attempt()};
    case Wire::Envelope::kRunDone:
        return RunAttempt{.key = &message.run_done().key(), .attempt = message.run_done().attempt()};
    case Wire::Envelope::kRunRefused:
        return RunAttempt{.key = &message.run_refused().key(), .attempt = message.run_refused().attempt()};
    default:
        return std::nullopt;
    }
}

} // namespace

void RunRegistry::add(const std::shared_ptr<StepRun> &run, const Wire::RequestKey &key)
{
    this->runs.emplace(Key(key.organisation(), key.key(), key.step()), run);
}

void RunRegistry::receive(const std::string &endpoint, const Wire::Envelope &message)
{
    const std::optional<RunAttempt> target = runAttemptOf(message);
    if (!target) {
        return;
    }
    const auto [first, last] = this->runs.equal_range(Key(target->key->organisation(), target->key->key(), target->key->step()));
    std::vector<std::shared_ptr<StepRun>> receivers;
    for (auto run = first; run != last; ++run) {
        if (run->second->matchesRun(endpoint, *target->key, target->attempt)) {
            receivers.push_back(run->second);
        }
    }
    for (const std::shared_ptr<StepRun> &run : receivers) {
        run->receive(message);
    }
}

void RunRegistry::handleLinkConnected(const std::string &endpoint)
{
    for (const std::shared_ptr<StepRun> &run : this->copyRuns()) {
        run->handleLinkConnected(endpoint);
    }
}

void RunRegistry::tick()
{
    for (const std::shared_ptr<StepRun> &run : this->copyRuns()) {
        run->tick();
    }
    std::erase_if(this->runs, [](const auto &entry) {
        return entry.second->isFinished();
    });
}

std::size_t RunRegistry::size() const
{
    return this->runs.size();
}

std::vector<std::shared_ptr<StepRun>> RunRegistry::copyRuns() const
{
    std::vector<std::shared_ptr<StepRun>> copies;
    copies.reserve(this->runs.size());
    for (const auto &[key, run] : this->runs) {
        copies.push_back(run);
    }
    return copies;
}

} // namespace Apricothead
