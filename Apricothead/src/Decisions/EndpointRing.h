#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointRing
 * \ingroup Decisions_Module
 * \brief Names a home among endpoints for a hash, so that gateways with the same endpoints name the same one.
 *
 * Consistent hashing (Karger et al., 1997): an endpoint that comes or goes moves only the prompts next to its points. Finding a home takes
 * the logarithm of their number.
 */
class EndpointRing
{
public:
    EndpointRing() = default;
    explicit EndpointRing(const std::vector<std::string> &names);

    /** \returns the index of the first endpoint at or after \a hash that \a mayServe, nothing when none does */
    std::optional<std::size_t> findHome(std::uint64_t hash, const std::function<bool(std::size_t index)> &canServe) const;

private:
    struct Point {
        std::uint64_t hash = 0;
        std::uint32_t index = 0;

        bool operator<(const Point &other) const
        {
            return this->hash != other.hash ? this->hash < other.hash : this->index < other.index;
        }
    };
    std::vector<Point> points;
};

} // namespace Apricothead
