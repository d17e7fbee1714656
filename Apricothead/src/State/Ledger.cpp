#include "Ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace Apricothead {
namespace {

constexpr std::uint64_t MaxTokens = 1'000'000'000;
constexpr std::uint64_t MaxCalls = 1'000'000'000;
/** Token prices are per 1000 tokens. */
constexpr std::uint64_t TokensPerPrice = 1000;

void addUsage(Wire::Usage &total, const Wire::Usage &usage)
{
    total.set_input_tokens(total.input_tokens() + usage.input_tokens());
    total.set_output_tokens(total.output_tokens() + usage.output_tokens());
    total.set_calls(total.calls() + usage.calls());
}

bool matchesFilter(std::string_view wanted, const std::string &value)
{
    return wanted.empty() || wanted == value;
}

} // namespace

std::string utcDay(std::int64_t timeMs)
{
    const std::chrono::sys_time<std::chrono::milliseconds> time{std::chrono::milliseconds(timeMs)};
    const std::chrono::year_month_day date{std::chrono::floor<std::chrono::days>(time)};
    char text[32];
    std::snprintf(text, sizeof text, "%04d-%02u-%02u", static_cast<int>(date.year()), static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
    return text;
}

Wire::Usage boundedUsage(const Wire::Usage &usage)
{
    Wire::Usage bounded;
    bounded.set_input_tokens(std::min(usage.input_tokens(), MaxTokens));
    bounded.set_output_tokens(std::min(usage.output_tokens(), MaxTokens));
    bounded.set_calls(std::min(usage.calls(), MaxCalls));
    return bounded;
}

Wire::Usage largerUsage(const Wire::Usage &left, const Wire::Usage &right)
{
    Wire::Usage larger;
    larger.set_input_tokens(std::max(left.input_tokens(), right.input_tokens()));
    larger.set_output_tokens(std::max(left.output_tokens(), right.output_tokens()));
    larger.set_calls(std::max(left.calls(), right.calls()));
    return larger;
}

std::uint64_t costMicros(const Wire::Version &version, const Wire::Usage &usage, Wire::Outcome outcome)
{
    if (outcome == Wire::OUTCOME_FAILED) {
        return 0;
    }
    const std::uint64_t tokens = usage.input_tokens() * version.input_price_micros() + usage.output_tokens() * version.output_price_micros();
    return (tokens + TokensPerPrice / 2) / TokensPerPrice + usage.calls() * version.call_price_micros();
}

void Ledger::add(const Wire::RequestRecord &settled)
{
    const std::string day = utcDay(settled.changed_at_ms());
    Wire::LedgerDay &total = this->totals[{settled.key().organisation(), day, settled.version()}];
    total.set_organisation(settled.key().organisation());
    total.set_day(day);
    total.set_version(settled.version());
    total.set_bills(total.bills() + 1);
    addUsage(*total.mutable_usage(), settled.usage());
    total.set_cost_micros(total.cost_micros() + settled.cost_micros());
}

std::vector<Wire::LedgerDay> Ledger::days(std::string_view organisation, std::string_view day) const
{
    std::vector<Wire::LedgerDay> found;
    for (const auto &[key, total] : this->totals) {
        if (!matchesFilter(organisation, total.organisation()) || !matchesFilter(day, total.day())) {
            continue;
        }
        found.push_back(total);
    }
    return found;
}

void Ledger::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[key, total] : this->totals) {
        *snapshot.add_ledger() = total;
    }
}

void Ledger::restore(const Wire::StateSnapshot &snapshot)
{
    this->totals.clear();
    for (const Wire::LedgerDay &total : snapshot.ledger()) {
        this->totals[{total.organisation(), total.day(), total.version()}] = total;
    }
}

} // namespace Apricothead
