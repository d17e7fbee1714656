#pragma once

#include "LoadTotals.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Apricothead {

/** \class PromptNews
 * \ingroup Decisions_Module
 * \brief The prompts that gateways reported in the latest rounds, so that each gateway receives each report once.
 *
 * Designed for many gateways that report prompts at a high rate: what all of them receive grows with the prompts, not with how often gateways ask.
 * A gateway that misses more than the rounds kept misses prompts; they only serve to estimate caches.
 */
class PromptNews
{
public:
    /** Adds the prompts in \a loads to the current round. */
    void add(const EndpointLoads &loads);

    /** Ends the current round. */
    void endRound();

    /** \returns the number of rounds that have ended */
    std::uint64_t endedRounds() const;

    /** Appends the prompts of the rounds that ended after \a round, as far as they are kept. */
    void appendSince(std::uint64_t round, EndpointLoads &prompts) const;

private:
    using Round = std::map<std::string, Wire::EndpointLoad>;
    Round current;
    /** The newest last. */
    std::deque<Round> ended;
    std::uint64_t endedCount = 0;
};

} // namespace Apricothead
