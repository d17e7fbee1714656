#include "PromptNews.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** Gateways ask about once a round. */
constexpr std::size_t MaxRounds = 8;

} // namespace

void PromptNews::add(const EndpointLoads &loads)
{
    for (const Wire::EndpointLoad &load : loads) {
        if (load.prefixes().empty()) {
            continue;
        }
        Wire::EndpointLoad &sum = this->current[load.endpoint()];
        sum.mutable_prefixes()->MergeFrom(load.prefixes());
        sum.mutable_prefix_tokens()->MergeFrom(load.prefix_tokens());
    }
}

void PromptNews::endRound()
{
    this->ended.push_back(std::exchange(this->current, {}));
    ++this->endedCount;
    if (this->ended.size() > MaxRounds) {
        this->ended.pop_front();
    }
}

std::uint64_t PromptNews::endedRounds() const
{
    return this->endedCount;
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
