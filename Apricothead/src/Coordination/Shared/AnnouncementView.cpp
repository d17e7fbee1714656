#include "AnnouncementView.h"

#include "AnnouncementRegistry.h"

#include <optional>
#include <set>

namespace Apricothead {
namespace {

/** \returns the precedence of a state among those reported for one incarnation; the highest wins */
int precedenceOf(Wire::AnnouncedState state)
{
    switch (state) {
    case Wire::ANNOUNCED_STATE_GONE:
        return 4;
    case Wire::ANNOUNCED_STATE_LEAVING:
        return 3;
    case Wire::ANNOUNCED_STATE_READY:
        return 2;
    default:
        return 1;
    }
}

bool takesPrecedence(const Wire::EndpointAnnouncement &left, const Wire::EndpointAnnouncement &right)
{
    if (left.born_ms() != right.born_ms()) {
        return left.born_ms() > right.born_ms();
    }
    return precedenceOf(left.state()) > precedenceOf(right.state());
}

} // namespace

std::vector<Wire::EndpointAnnouncement> AnnouncementView::applyUpdate(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    for (const Wire::EndpointAnnouncement &announcement : announcements) {
        std::map<std::string, Wire::EndpointAnnouncement> &views = this->reported[announcement.endpoint()];
        const auto view = views.find(replica);
        if (view != views.end() && hasSameContent(view->second, announcement)) {
            continue;
        }
        const Wire::EndpointAnnouncement *merged = this->find(announcement.endpoint());
        const std::optional<Wire::EndpointAnnouncement> previous = merged == nullptr ? std::nullopt : std::make_optional(*merged);
        views[replica] = announcement;
        const Wire::EndpointAnnouncement &current = *this->find(announcement.endpoint());
        if (!previous || !hasSameContent(*previous, current)) {
            changed.push_back(current);
        }
    }
    return changed;
}

std::vector<Wire::EndpointAnnouncement> AnnouncementView::applyFullList(const std::string &replica,
                                                                        const std::vector<Wire::EndpointAnnouncement> &announcements)
{
    std::vector<Wire::EndpointAnnouncement> complete = announcements;
    std::set<std::string> listed;
    for (const Wire::EndpointAnnouncement &announcement : announcements) {
        listed.insert(announcement.endpoint());
    }
    for (const auto &[endpoint, views] : this->reported) {
        const auto previous = views.find(replica);
        if (listed.contains(endpoint) || previous == views.end() || previous->second.state() != Wire::ANNOUNCED_STATE_READY) {
            continue;
        }
        complete.push_back(previous->second);
        complete.back().set_state(Wire::ANNOUNCED_STATE_SILENT);
    }
    return this->applyUpdate(replica, complete);
}

void AnnouncementView::forgetReplica(const std::string &replica)
{
    for (auto &[endpoint, views] : this->reported) {
        const auto found = views.find(replica);
        if (views.size() > 1 && found != views.end() && !isFinal(found->second.state())) {
            views.erase(found);
        }
    }
}

std::uint64_t AnnouncementView::digest(const std::string &replica) const
{
    std::uint64_t sum = 0;
    for (const auto &[endpoint, views] : this->reported) {
        const auto view = views.find(replica);
        sum += view == views.end() ? 0 : announcementHash(view->second);
    }
    return sum;
}

const Wire::EndpointAnnouncement *AnnouncementView::find(const std::string &endpoint) const
{
    const auto found = this->reported.find(endpoint);
    if (found == this->reported.end()) {
        return nullptr;
    }
    const Wire::EndpointAnnouncement *best = nullptr;
    for (const auto &[replica, announcement] : found->second) {
        if (best == nullptr || takesPrecedence(announcement, *best)) {
            best = &announcement;
        }
    }
    return best;
}

} // namespace Apricothead
