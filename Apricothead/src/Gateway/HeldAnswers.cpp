#include "HeldAnswers.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** An answer that holds less is never dropped for lack of memory. */
constexpr std::size_t FloorBytes = 8 * 1024;

} // namespace

HeldAnswer::HeldAnswer(HeldAnswers &givenAnswers, std::uint64_t givenStartedMs, std::function<void()> givenGiveUp)
    : answers(givenAnswers), startedMs(givenStartedMs), giveUp(std::move(givenGiveUp))
{
    this->answers.answers.push_back(this);
}

HeldAnswer::~HeldAnswer()
{
    std::erase(this->answers.answers, this);
}

bool HeldAnswer::resize(std::size_t bytes, std::uint64_t nowMs)
{
    if (bytes <= std::max(FloorBytes, this->charge.bytes())) {
        this->charge.set(bytes);
        return true;
    }
    while (!this->charge.tryGrow(bytes)) {
        if (!this->answers.dropWorst(*this, nowMs)) {
            return false;
        }
    }
    return true;
}

bool HeldAnswers::dropWorst(const HeldAnswer &asking, std::uint64_t nowMs)
{
    const auto burden = [nowMs](const HeldAnswer *answer) {
        const std::size_t bytes = answer->charge.bytes();
        return bytes <= FloorBytes ? 0 : bytes * (nowMs - answer->startedMs + 1);
    };
    const auto worst = std::max_element(this->answers.begin(), this->answers.end(), [&burden](const HeldAnswer *one, const HeldAnswer *other) {
        return burden(one) < burden(other);
    });
    if (*worst == &asking || burden(*worst) <= burden(&asking)) {
        return false;
    }
    // Destroys the answer.
    const std::function<void()> giveUp = (*worst)->giveUp;
    giveUp();
    return true;
}

} // namespace Apricothead
