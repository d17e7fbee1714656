#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Apricothead {

class Ticker;

/** \class LimitQueue
 * \ingroup Gateway_Module
 * \brief Requests that wait for an endpoint whose request limit leaves them no room yet: by service the most urgent first, then the oldest.
 * \sa EndpointLimits
 */
class LimitQueue
{
public:
    /** \a onCount: called with the number of requests that wait for a service when it changes */
    LimitQueue(Ticker &ticker, std::function<void(const std::string &service, std::uint32_t count)> onCount);
    ~LimitQueue();
    LimitQueue(const LimitQueue &) = delete;
    LimitQueue &operator=(const LimitQueue &) = delete;

    /** Adds a request. \a retry is called, in order, when an endpoint may have room; it removes the request when it found one, or gave up. */
    void add(const void *key, const std::string &service, unsigned priority, std::function<void()> retry);
    void remove(const void *key);

    /** Calls the hooks of all requests. */
    void retryAll();

    /** \returns the number of requests for \a service that a new one with \a priority comes behind */
    std::size_t ahead(const std::string &service, unsigned priority) const;
    std::size_t size() const;

private:
    /** Priority and number of the request. */
    using Place = std::pair<unsigned, std::uint64_t>;
    struct Waiting {
        const void *key = nullptr;
        std::function<void()> retry;
    };

    Ticker &ticker;
    std::function<void(const std::string &, std::uint32_t)> onCount;
    std::map<std::string, std::map<Place, Waiting>> services;
    std::map<const void *, std::pair<std::string, Place>> places;
    std::uint64_t lastNumber = 0;
};

} // namespace Apricothead
