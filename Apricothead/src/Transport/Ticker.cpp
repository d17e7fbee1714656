#include "Ticker.h"

#include "CallbackWatch.h"

#include <utility>
#include <vector>

namespace Apricothead {

Ticker::Ticker(EventLoop &givenLoop, std::chrono::milliseconds givenInterval)
    : loop(givenLoop), interval(givenInterval), timer(givenLoop, [this] {
        this->callHooks();
    })
{ }

void Ticker::add(const void *key, std::function<void()> hook)
{
    this->hooks.insert_or_assign(key, std::move(hook));
    if (!this->timer.isActive()) {
        this->timer.startRepeating(this->interval);
    }
}

void Ticker::remove(const void *key)
{
    this->hooks.erase(key);
    if (this->hooks.empty()) {
        this->timer.stop();
    }
}

void Ticker::callHooks()
{
    std::vector<const void *> keys;
    for (const auto &[key, hook] : this->hooks) {
        keys.push_back(key);
    }
    for (const void *key : keys) {
        const auto found = this->hooks.find(key);
        if (found == this->hooks.end()) {
            continue;
        }
        // A copy: the hook may remove itself.
        const std::function<void()> hook = found->second;
        const CallbackWatch watch(this->loop, hook.target_type());
        hook();
    }
}

} // namespace Apricothead
