#include "SessionCache.h"

namespace Apricothead {
namespace {

std::string cacheKey(const std::string &organisation, const std::string &session, const std::string &model)
{
    // Ids contain no line breaks, so the key is unambiguous.
    std::string key = organisation;
    return key.append("\n").append(session).append("\n").append(model);
}

} // namespace

SessionCache::SessionCache(std::size_t sessionLimit) : maxSessions(sessionLimit)
{ }

void SessionCache::store(const std::string &organisation, const std::string &session, const std::string &model, const std::string &version)
{
    if (session.empty()) {
        return;
    }
    if (this->versions.size() >= this->maxSessions) {
        this->versions.clear();
    }
    this->versions[cacheKey(organisation, session, model)] = version;
}

std::string SessionCache::version(const std::string &organisation, const std::string &session, const std::string &model) const
{
    if (session.empty()) {
        return {};
    }
    const auto found = this->versions.find(cacheKey(organisation, session, model));
    return found == this->versions.end() ? std::string() : found->second;
}

} // namespace Apricothead
