#pragma once

#include <cstdint>
#include <optional>

namespace Apricothead {

/** \class FenceGuard
 * \ingroup Coordination_Module
 * \brief Refuses orders with an outdated fencing number, for engines that do not check it.
 *
 * A new process knows no number: it learns one from the quorum by TakeFence, which is higher than all granted before.
 */
class FenceGuard
{
public:
    /** \returns false until update() was called; orders must wait until then */
    bool isReady() const
    {
        return this->newest.has_value();
    }

    /** Takes over a number granted by the quorum. */
    void update(std::uint64_t fence)
    {
        if (fence > this->newestFence()) {
            this->newest = fence;
        }
    }

    /** \returns whether an order with \a fence may go to the engine; if so, lower ones are refused from now on */
    bool accept(std::uint64_t fence)
    {
        if (!this->isReady() || fence < *this->newest) {
            return false;
        }
        this->newest = fence;
        return true;
    }

    /** \returns the newest number known, 0 when none is */
    std::uint64_t newestFence() const
    {
        return this->newest.value_or(0);
    }

private:
    std::optional<std::uint64_t> newest;
};

} // namespace Apricothead
