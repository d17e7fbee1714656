#pragma once

#include <cstdint>
#include <optional>

namespace Apricothead {

/** \class FenceGuard
 * \ingroup Coordination_Module
 * \brief Rejects orders with an outdated fencing token, for engines that do not check it.
 *
 * A new process has no token. It obtains one from the quorum by TakeFence, which is higher than all tokens granted before.
 */
class FenceGuard
{
public:
    /** \returns false until update() is called; orders must wait until then */
    bool isReady() const
    {
        return this->newest.has_value();
    }

    /** Stores a token granted by the quorum, unless a newer one is known. */
    void update(std::uint64_t fence)
    {
        if (fence > this->newestFence()) {
            this->newest = fence;
        }
    }

    /** \returns whether an order with \a fence may be sent to the engine; if so, orders with lower tokens are rejected from now on */
    bool accept(std::uint64_t fence)
    {
        if (!this->isReady() || fence < *this->newest) {
            return false;
        }
        this->newest = fence;
        return true;
    }

    /** \returns the newest known token, 0 when there is none */
    std::uint64_t newestFence() const
    {
        return this->newest.value_or(0);
    }

private:
    std::optional<std::uint64_t> newest;
};

} // namespace Apricothead
