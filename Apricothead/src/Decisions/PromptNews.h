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
 * A gateway that misses more than the rounds kept misses prompts; they only serve to estimate caches. For the same reason prompts may be left out:
 * each gateway has a bound for each round, so that one with many short prompts neither fills the others nor displaces what they report.
 */
class PromptNews
{
public:
    /** Prefixes that a gateway reports at most at a time, and in a round. */
    static constexpr std::size_t MaxPrefixesOfSender = 512;
    /** Prefixes of all gateways in a round. */
    static constexpr std::size_t MaxPrefixes = 16 * MaxPrefixesOfSender;

    /** Adds the prompts in \a loads, reported by the gateway \a sender, to the current round, as far as the bounds allow. */
    void add(const std::string &sender, const EndpointLoads &loads);

    /** Ends the current round. */
    void endRound();

    /** \returns the number of rounds that have ended */
    std::uint64_t endedRounds() const;

    /** \returns the number of prefixes that are kept, over all rounds */
    std::size_t prefixCount() const;
    /** \returns the number of prefixes that were left out since the start */
    std::uint64_t droppedPrefixes() const;

    /** Appends the prompts of the rounds that ended after \a round, as far as they are kept. */
    void appendSince(std::uint64_t round, EndpointLoads &prompts) const;

private:
    using Round = std::map<std::string, Wire::EndpointLoad>;
    Round current;
    /** The newest last. */
    std::deque<Round> ended;
    std::uint64_t endedCount = 0;
    /** Prefixes in the current round, by gateway. */
    std::map<std::string, std::size_t> countBySender;
    std::size_t currentCount = 0;
    std::uint64_t dropped = 0;
};

} // namespace Apricothead
