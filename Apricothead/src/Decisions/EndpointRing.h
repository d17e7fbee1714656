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
 * \brief Assigns a home endpoint to each hash, so that gateways that know the same endpoints agree on it.
 *
 * Consistent hashing (Karger et al., 1997): an endpoint that is added or removed changes only the homes of the hashes next to its points. Finding a
 * home takes logarithmic time in the number of points.
 */
class EndpointRing
{
public:
    EndpointRing() = default;
    explicit EndpointRing(const std::vector<std::string> &names);

    /** \returns the index of the first endpoint at or after \a hash for which \a canServe is true, nothing when there is none */
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
