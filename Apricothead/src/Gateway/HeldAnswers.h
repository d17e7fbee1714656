#pragma once

#include "../Transport/ByteBudget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Apricothead {

class HeldAnswers;

/** \class HeldAnswer
 * \ingroup Gateway_Module
 * \brief The bytes of one answer that wait for its rest, charged to the budget of the process.
 */
class HeldAnswer
{
public:
    /** \a giveUp: drops the answer and what it holds. */
    HeldAnswer(HeldAnswers &answers, std::uint64_t startedMs, std::function<void()> giveUp);
    ~HeldAnswer();
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    /** Charges \a bytes, if need be in place of another answer. \returns whether they may be held */
    bool resize(std::size_t bytes, std::uint64_t nowMs);

private:
    friend class HeldAnswers;

    HeldAnswers &answers;
    const std::uint64_t startedMs;
    const std::function<void()> giveUp;
    ByteCharge charge;
};

/** \class HeldAnswers
 * \ingroup Gateway_Module
 * \brief All answers that a gateway holds in part.
 *
 * Each is bounded, but a faulty endpoint may send many at once. When the budget of the process is used up, the answer that has held most for
 * longest gives way to the others. Used on the loop's thread only.
 */
class HeldAnswers
{
private:
    friend class HeldAnswer;

    /** Drops the answer with the largest burden, if it is not \a asking. \returns whether one was dropped */
    bool dropWorst(const HeldAnswer &asking, std::uint64_t nowMs);

    std::vector<HeldAnswer *> answers;
};

} // namespace Apricothead
