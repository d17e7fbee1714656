#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Apricothead {

/** \class RequestDurations
 * \ingroup Decisions_Module
 * \brief How long the last requests of each route took, from their arrival to the end of their answer.
 */
class RequestDurations
{
public:
    void record(const std::string &route, std::uint64_t tookMs);

    /** \returns the ms that nine of ten recent requests of \a route did not exceed; nothing when there was none */
    std::optional<std::uint64_t> expectedMs(const std::string &route) const;

private:
    struct Recent {
        std::array<std::uint64_t, 64> tookMs{};
        std::size_t count = 0;
    };

    std::map<std::string, Recent> routes;
};

} // namespace Apricothead
