#include "AnnouncementView.h"

#include "AnnouncementRegistry.h"

#include <google/protobuf/util/message_differencer.h>

#include <set>

namespace Apricothead {
namespace {

/** The order in which states of one incarnation outweigh each other. */
int weightOf(Wire::AnnouncedState state)
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

bool outweighs(const Wire::EndpointAnnouncement &left, const Wire::EndpointAnnouncement &right)
{
    if (left.born_ms() != right.born_ms()) {
        return left.born_ms() > right.born_ms();
    }
    return weightOf(left.state()) > weightOf(right.state());
}

bool isSame(const Wire::EndpointAnnouncement &left, const Wire::EndpointAnnouncement &right)
{
    return google::protobuf::util::MessageDifferencer::Equals(left, right);
}

} // namespace

std::vector<Wire::EndpointAnnouncement> AnnouncementView::applyUpdate(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    for (const Wire::EndpointAnnouncement &announcement : announcements) {
        const std::optional<Wire::EndpointAnnouncement> former = this->find(announcement.endpoint());
        this->heard[announcement.endpoint()][replica] = announcement;
        const Wire::EndpointAnnouncement latter = *this->find(announcement.endpoint());
        if (!former || !isSame(*former, latter)) {
            changed.push_back(latter);
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
    for (const auto &[endpoint, views] : this->heard) {
        const auto former = views.find(replica);
        if (listed.contains(endpoint) || former == views.end() || former->second.state() != Wire::ANNOUNCED_STATE_READY) {
            continue;
        }
        complete.push_back(former->second);
        complete.back().set_state(Wire::ANNOUNCED_STATE_SILENT);
    }
    return this->applyUpdate(replica, complete);
}

void AnnouncementView::forgetReplica(const std::string &replica)
{
    for (auto &[endpoint, views] : this->heard) {
        const auto found = views.find(replica);
        if (views.size() > 1 && found != views.end() && !isFinal(found->second.state())) {
            views.erase(found);
        }
    }
}

std::optional<Wire::EndpointAnnouncement> AnnouncementView::find(const std::string &endpoint) const
{
    const auto found = this->heard.find(endpoint);
    if (found == this->heard.end()) {
        return std::nullopt;
    }
    const Wire::EndpointAnnouncement *best = nullptr;
    for (const auto &[replica, announcement] : found->second) {
        if (best == nullptr || outweighs(announcement, *best)) {
            best = &announcement;
        }
    }
    return *best;
}

} // namespace Apricothead
