#pragma once

#include "HttpClient.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothead::detail {

/** \class HttpConnections
 * \ingroup Transport_Module
 * \brief The open connections of a client, and which requests each of them has carried.
 *
 * libcurl decides which connection a request is sent over, and names it only by its addresses.
 */
class HttpConnections
{
public:
    /** Requests after which a connection is not kept: bounds what is remembered of it. */
    static constexpr std::size_t MaxRequests = 256;

    /** Records that \a socket has connected. \a addresses: its local and its remote address. */
    void recordOpened(int socket, const std::string &addresses);
    /** \a hasUnacknowledged: its peer has not received all that was sent */
    void recordClosed(int socket, bool hasUnacknowledged = false);
    /** \returns whether the connection \a number was closed before its peer had received all, and forgets that */
    bool takeUnacknowledged(std::uint64_t number);

    /** \returns whether the request \a id may have been sent over the connection before; true for a connection that was not recorded */
    bool mayHaveCarried(const std::string &addresses, std::string_view id) const;

    /** \returns the number of open connections */
    std::size_t size() const;
    /** \returns the number of ids that are remembered, over all connections */
    std::size_t idCount() const;

    /** \returns the socket of the connection; nothing for one that was not recorded */
    std::optional<int> socketOf(const std::string &addresses) const;

    /** Records that a request is about to be sent. \a id: empty for a request that is never sent again. \returns the connection */
    HttpConnection recordRequest(const std::string &addresses, std::string_view id);

private:
    struct History {
        std::uint64_t number = 0;
        int socket = 0;
        std::uint64_t requests = 0;
        /** Hashes: a collision costs a connection, never a request. */
        std::vector<std::uint64_t> ids;
    };

    std::uint64_t lastNumber = 0;
    std::unordered_map<std::string, History> histories;
    std::unordered_map<int, std::string> addressesOf;
    /** Numbers of connections that were closed before their peers had received all, until their transfers end. */
    std::set<std::uint64_t> unacknowledged;
};

} // namespace Apricothead::detail
