#include "AnnouncementRegistry.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

bool isOlder(const Wire::EndpointAnnouncement &announcement, const Wire::EndpointAnnouncement &recorded)
{
    if (announcement.born_ms() != recorded.born_ms()) {
        return announcement.born_ms() < recorded.born_ms();
    }
    return announcement.sequence() <= recorded.sequence();
}

} // namespace

bool hasSameContent(const Wire::EndpointAnnouncement &left, const Wire::EndpointAnnouncement &right)
{
    return left.service() == right.service() && left.address() == right.address() && left.availability_zone() == right.availability_zone()
        && left.version() == right.version() && left.slots() == right.slots() && left.state() == right.state() && left.born_ms() == right.born_ms()
        && (left.cold_ms() > 0) == (right.cold_ms() > 0);
}

std::uint64_t announcementHash(const Wire::EndpointAnnouncement &announcement)
{
    if (announcement.state() != Wire::ANNOUNCED_STATE_READY) {
        return 0;
    }
    constexpr std::uint64_t ColdMark = std::uint64_t{1} << 63U;
    const std::uint64_t mark = announcement.cold_ms() > 0 ? ColdMark : 0;
    std::uint64_t hash = XXH3_64bits_withSeed(nullptr, 0, static_cast<std::uint64_t>(announcement.born_ms()) ^ announcement.slots() ^ mark);
    for (const std::string *text :
         {&announcement.endpoint(), &announcement.service(), &announcement.address(), &announcement.availability_zone(), &announcement.version()}) {
        hash = XXH3_64bits_withSeed(text->data(), text->size(), hash);
    }
    return hash;
}

bool isFinal(Wire::AnnouncedState state)
{
    return state == Wire::ANNOUNCED_STATE_LEAVING || state == Wire::ANNOUNCED_STATE_GONE;
}

AnnouncementRegistry::AnnouncementRegistry(std::uint64_t silence, std::uint64_t retention, std::function<bool(const std::string &service)> named)
    : silenceMs(silence), retentionMs(retention), isNamed(std::move(named))
{ }

bool AnnouncementRegistry::isOfNamedService(const Wire::EndpointAnnouncement &announcement) const
{
    return !this->isNamed || this->isNamed(announcement.service());
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::recordHeartbeat(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    const auto found = this->entries.find(announcement.endpoint());
    const bool isKnown = found != this->entries.end();
    const bool isSuccessor = isKnown && announcement.born_ms() > found->second.announcement.born_ms();
    const bool isOfNamed = this->isOfNamedService(announcement);
    const bool replacesUnnamed = isKnown && isOfNamed && !this->isOfNamedService(found->second.announcement);
    const bool isNew = !isKnown || isSuccessor || replacesUnnamed;
    if (isKnown && !replacesUnnamed && isOlder(announcement, found->second.announcement)) {
        return changed;
    }
    if (isKnown && !isOfNamed && this->isOfNamedService(found->second.announcement)) {
        return changed;
    }
    if (isNew && this->isAddressHeldByNewer(announcement)) {
        return changed;
    }
    Entry &entry = this->entries[announcement.endpoint()];
    Wire::EndpointAnnouncement next = announcement;
    if (!isNew && isFinal(entry.announcement.state()) && !isFinal(announcement.state())) {
        next.set_state(entry.announcement.state());
    }
    if (!isNew && entry.announcement.state() == Wire::ANNOUNCED_STATE_GONE) {
        next.set_state(Wire::ANNOUNCED_STATE_GONE);
    }
    const bool differs = isNew || !hasSameContent(entry.announcement, next);
    entry.announcement = next;
    entry.lastHeartbeatMs = nowMs;
    if (isSuccessor) {
        entry.startedAgainMs = nowMs;
    }
    if (differs) {
        changed.push_back(next);
    }
    const bool heldAddress = !isNew && entry.holdsAddress;
    entry.holdsAddress = heldAddress || isOfNamed;
    if (entry.holdsAddress && (differs || !heldAddress)) {
        this->retirePreviousHolders(next, nowMs, changed);
    }
    return changed;
}

bool AnnouncementRegistry::isAddressHeldByNewer(const Wire::EndpointAnnouncement &announcement) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&announcement](const auto &other) {
        const Wire::EndpointAnnouncement &holder = other.second.announcement;
        return other.second.holdsAddress && other.first != announcement.endpoint() && holder.address() == announcement.address()
            && holder.born_ms() > announcement.born_ms();
    });
}

void AnnouncementRegistry::retirePreviousHolders(const Wire::EndpointAnnouncement &holder,
                                                 std::uint64_t nowMs,
                                                 std::vector<Wire::EndpointAnnouncement> &changed)
{
    for (auto &[endpoint, other] : this->entries) {
        const bool isPreviousHolder = endpoint != holder.endpoint() && other.announcement.address() == holder.address()
            && other.announcement.born_ms() < holder.born_ms() && other.announcement.state() != Wire::ANNOUNCED_STATE_GONE;
        if (!isPreviousHolder) {
            continue;
        }
        other.announcement.set_state(Wire::ANNOUNCED_STATE_GONE);
        other.lastHeartbeatMs = nowMs;
        changed.push_back(other.announcement);
    }
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::markGone(const std::string &endpoint, std::uint64_t nowMs)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end()) {
        return {};
    }
    const std::optional<std::uint64_t> &startedAgainMs = found->second.startedAgainMs;
    if (startedAgainMs && nowMs - *startedAgainMs <= this->silenceMs) {
        return {};
    }
    return this->setGone(found->second, nowMs);
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::markGone(const std::string &endpoint, std::int64_t bornMs, std::uint64_t nowMs)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end() || found->second.announcement.born_ms() > bornMs) {
        return {};
    }
    return this->setGone(found->second, nowMs);
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::setGone(Entry &entry, std::uint64_t nowMs)
{
    if (entry.announcement.state() == Wire::ANNOUNCED_STATE_GONE) {
        return {};
    }
    entry.announcement.set_state(Wire::ANNOUNCED_STATE_GONE);
    entry.lastHeartbeatMs = nowMs;
    return {entry.announcement};
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::expire(std::uint64_t nowMs)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    std::erase_if(this->entries, [this, nowMs](const auto &entry) {
        return entry.second.announcement.state() != Wire::ANNOUNCED_STATE_READY && nowMs - entry.second.lastHeartbeatMs > this->retentionMs;
    });
    for (auto &[endpoint, entry] : this->entries) {
        if (entry.startedAgainMs && nowMs - *entry.startedAgainMs > this->silenceMs) {
            entry.startedAgainMs.reset();
        }
        if (entry.announcement.state() != Wire::ANNOUNCED_STATE_READY || nowMs - entry.lastHeartbeatMs <= this->silenceMs) {
            continue;
        }
        entry.announcement.set_state(Wire::ANNOUNCED_STATE_SILENT);
        changed.push_back(entry.announcement);
    }
    return changed;
}

void AnnouncementRegistry::resetSilence(std::uint64_t nowMs)
{
    for (auto &[endpoint, entry] : this->entries) {
        entry.lastHeartbeatMs = nowMs;
        if (entry.startedAgainMs) {
            entry.startedAgainMs = nowMs;
        }
    }
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::all() const
{
    std::vector<Wire::EndpointAnnouncement> listed;
    for (const auto &[endpoint, entry] : this->entries) {
        listed.push_back(entry.announcement);
    }
    return listed;
}

const Wire::EndpointAnnouncement *AnnouncementRegistry::find(const std::string &endpoint) const
{
    const auto found = this->entries.find(endpoint);
    return found == this->entries.end() ? nullptr : &found->second.announcement;
}

std::uint64_t AnnouncementRegistry::digest() const
{
    std::uint64_t sum = 0;
    for (const auto &[endpoint, entry] : this->entries) {
        sum += announcementHash(entry.announcement);
    }
    return sum;
}

std::vector<Wire::EndpointAnnouncement> AnnouncementRegistry::activeSince(std::uint64_t sinceMs) const
{
    std::vector<Wire::EndpointAnnouncement> listed;
    for (const auto &[endpoint, entry] : this->entries) {
        if (entry.lastHeartbeatMs > sinceMs && entry.announcement.state() == Wire::ANNOUNCED_STATE_READY) {
            listed.push_back(entry.announcement);
        }
    }
    return listed;
}

} // namespace Apricothead
