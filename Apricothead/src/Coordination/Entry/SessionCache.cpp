#include "SessionCache.h"

namespace Apricothead {
namespace {

std::string nameOf(const std::string &organisation, const std::string &session, const std::string &model)
{
    // No id has a line break in it.
    std::string name = organisation;
    return name.append("\n").append(session).append("\n").append(model);
}

} // namespace

SessionCache::SessionCache(std::size_t mostSessions) : most(mostSessions)
{ }

void SessionCache::remember(const std::string &organisation, const std::string &session, const std::string &model, const std::string &version)
{
    if (session.empty()) {
        return;
    }
    if (this->versions.size() >= this->most) {
        this->versions.clear();
    }
    this->versions[nameOf(organisation, session, model)] = version;
}

std::string SessionCache::version(const std::string &organisation, const std::string &session, const std::string &model) const
{
    if (session.empty()) {
        return {};
    }
    const auto found = this->versions.find(nameOf(organisation, session, model));
    return found == this->versions.end() ? std::string() : found->second;
}

} // namespace Apricothead
