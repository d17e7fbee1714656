#pragma once

#include <atomic>
#include <cstddef>

namespace Apricothead {

/** \class ByteBudget
 * \ingroup Transport_Module
 * \brief Bounds the bytes that all connections of a process may hold together: heads and bodies of requests, and answers that were not taken.
 *
 * Many clients that each stay within the limits would otherwise end the process: it is killed above its memory. Thread-safe.
 */
class ByteBudget
{
public:
    /** The budget of this process. */
    static ByteBudget &process();

    /** \a megabytes: memory of the process. Connections get a third of it; the rest is for plans, links, and the connections themselves. */
    void setMemory(std::size_t megabytes);

    /** Charges \a bytes if they fit. \returns whether they did */
    bool tryCharge(std::size_t bytes);
    /** Charges \a bytes whether or not they fit. */
    void charge(std::size_t bytes);
    void release(std::size_t bytes);

    std::size_t used() const;
    std::size_t limit() const;
    /** \returns whether most of the budget is used, so that nobody may hold more than a small share */
    bool isScarce() const;

private:
    std::atomic<std::size_t> held = 0;
    std::atomic<std::size_t> bound = static_cast<std::size_t>(256) * 1024 * 1024;
};

/** \class ByteCharge
 * \ingroup Transport_Module
 * \brief What one connection has charged to the budget of the process; released when it goes.
 */
class ByteCharge
{
public:
    ByteCharge() = default;
    ~ByteCharge();
    ByteCharge(const ByteCharge &) = delete;
    ByteCharge &operator=(const ByteCharge &) = delete;

    /** Grows to \a bytes if that fits. \returns whether it did */
    bool tryGrow(std::size_t bytes);
    /** Sets what is held, whether or not it fits. */
    void set(std::size_t bytes);
    std::size_t bytes() const;

private:
    std::size_t charged = 0;
};

} // namespace Apricothead
