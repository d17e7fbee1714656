#include "SessionTable.h"

#include "KeyEncoding.h"

#include <utility>

namespace Apricothead {

const Wire::SessionBinding *SessionTable::find(const std::string &organisation, const std::string &session, const std::string &model) const
{
    const auto found = this->sessions.find(encodeParts({organisation, session, model}));
    return found == this->sessions.end() ? nullptr : &found->second;
}

void SessionTable::recordUse(const Wire::Admit &admit, std::int64_t timeMs)
{
    const std::string name = encodeParts({admit.key().organisation(), admit.session(), admit.model()});
    auto [entry, isNew] = this->sessions.try_emplace(name);
    Wire::SessionBinding &binding = entry->second;
    if (isNew) {
        binding.set_organisation(admit.key().organisation());
        binding.set_session(admit.session());
        binding.set_model(admit.model());
        binding.set_version(admit.version());
    } else {
        this->expiries.remove(binding.used_at_ms(), name);
    }
    binding.set_used_at_ms(timeMs);
    this->expiries.add(timeMs, name);
}

void SessionTable::expire(std::int64_t beforeMs)
{
    for (int i = 0; i < MaxExpiriesPerCommand; ++i) {
        const auto name = this->expiries.popOlderThan(beforeMs);
        if (!name) {
            return;
        }
        this->sessions.erase(*name);
    }
}

std::size_t SessionTable::size() const
{
    return this->sessions.size();
}

void SessionTable::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[name, binding] : this->sessions) {
        *snapshot.add_sessions() = binding;
    }
}

void SessionTable::restore(const Wire::StateSnapshot &snapshot)
{
    this->sessions.clear();
    this->expiries.clear();
    for (const Wire::SessionBinding &binding : snapshot.sessions()) {
        const std::string name = encodeParts({binding.organisation(), binding.session(), binding.model()});
        this->sessions[name] = binding;
        this->expiries.add(binding.used_at_ms(), name);
    }
}

} // namespace Apricothead
