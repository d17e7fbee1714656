#include "HttpConnections.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead::detail {
namespace {

/** Bounds what is remembered of connections whose transfers were cancelled. */
constexpr std::size_t MaxUnacknowledged = 64;

std::uint64_t hashOf(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

} // namespace

void HttpConnections::recordOpened(int socket, const std::string &addresses)
{
    this->recordClosed(socket);
    this->addressesOf[socket] = addresses;
    this->histories[addresses] = {.number = ++this->lastNumber, .socket = socket};
}

void HttpConnections::recordClosed(int socket, bool hasUnacknowledged)
{
    const auto found = this->addressesOf.find(socket);
    if (found == this->addressesOf.end()) {
        return;
    }
    const auto history = this->histories.find(found->second);
    // The system may have given the addresses to a newer connection.
    if (history != this->histories.end() && history->second.socket == socket) {
        if (hasUnacknowledged) {
            this->unacknowledged.insert(history->second.number);
        }
        this->histories.erase(history);
    }
    this->addressesOf.erase(found);
    // Transfers that were cancelled don't ask.
    if (this->unacknowledged.size() > MaxUnacknowledged) {
        this->unacknowledged.erase(this->unacknowledged.begin());
    }
}

bool HttpConnections::takeUnacknowledged(std::uint64_t number)
{
    return this->unacknowledged.erase(number) > 0;
}

bool HttpConnections::mayHaveCarried(const std::string &addresses, std::string_view id) const
{
    const auto found = this->histories.find(addresses);
    if (found == this->histories.end()) {
        return true;
    }
    const std::vector<std::uint64_t> &ids = found->second.ids;
    return std::find(ids.begin(), ids.end(), hashOf(id)) != ids.end();
}

std::size_t HttpConnections::size() const
{
    return this->histories.size();
}

std::size_t HttpConnections::idCount() const
{
    std::size_t count = 0;
    for (const auto &[addresses, history] : this->histories) {
        count += history.ids.size();
    }
    return count;
}

std::optional<int> HttpConnections::socketOf(const std::string &addresses) const
{
    const auto found = this->histories.find(addresses);
    return found == this->histories.end() ? std::nullopt : std::optional(found->second.socket);
}

HttpConnection HttpConnections::recordRequest(const std::string &addresses, std::string_view id)
{
    const auto found = this->histories.find(addresses);
    if (found == this->histories.end()) {
        return {.number = 0, .earlierRequests = 1};
    }
    History &history = found->second;
    if (!id.empty()) {
        history.ids.push_back(hashOf(id));
    }
    return {.number = history.number, .earlierRequests = history.requests++};
}

} // namespace Apricothead::detail
