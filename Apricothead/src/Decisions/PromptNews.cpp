#include "PromptNews.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Apricothead {
namespace {

/** Gateways ask about once a round. */
constexpr std::size_t MaxRounds = 8;

} // namespace

void PromptNews::add(const std::string &sender, const EndpointLoads &loads)
{
    std::size_t &count = this->countBySender[sender];
    for (const Wire::EndpointLoad &load : loads) {
        const auto reported = static_cast<std::size_t>(std::min(load.prefixes_size(), load.prefix_tokens_size()));
        const std::size_t added = std::min({reported, MaxPrefixesOfSender - count, MaxPrefixes - this->currentCount});
        this->dropped += reported - added;
        if (added == 0) {
            continue;
        }
        count += added;
        this->currentCount += added;
        Wire::EndpointLoad &sum = this->current[load.endpoint()];
        const auto end = static_cast<std::ptrdiff_t>(added);
        sum.mutable_prefixes()->Add(load.prefixes().begin(), load.prefixes().begin() + end);
        sum.mutable_prefix_tokens()->Add(load.prefix_tokens().begin(), load.prefix_tokens().begin() + end);
    }
}

void PromptNews::endRound()
{
    this->ended.push_back(std::exchange(this->current, {}));
    ++this->endedCount;
    this->countBySender.clear();
    this->currentCount = 0;
    if (this->ended.size() > MaxRounds) {
        this->ended.pop_front();
    }
}

std::uint64_t PromptNews::endedRounds() const
{
    return this->endedCount;
}

std::size_t PromptNews::prefixCount() const
{
    const auto count = [](const Round &round) {
        return std::accumulate(round.begin(), round.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
            return sum + static_cast<std::size_t>(entry.second.prefixes_size());
        });
    };
    return std::accumulate(this->ended.begin(), this->ended.end(), count(this->current), [&count](std::size_t sum, const Round &round) {
        return sum + count(round);
    });
}

std::uint64_t PromptNews::droppedPrefixes() const
{
    return this->dropped;
}

void PromptNews::appendSince(std::uint64_t round, EndpointLoads &prompts) const
{
    const std::size_t missed = this->endedCount - std::min(round, this->endedCount);
    const std::size_t listed = std::min(missed, this->ended.size());
    for (auto past = this->ended.end() - static_cast<std::ptrdiff_t>(listed); past != this->ended.end(); ++past) {
        for (const auto &[endpoint, sum] : *past) {
            Wire::EndpointLoad *load = prompts.Add();
            *load = sum;
            load->set_endpoint(endpoint);
        }
    }
}

} // namespace Apricothead
