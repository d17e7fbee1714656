#include "Ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace Apricothead {
namespace {

constexpr std::uint64_t MostUsage = 1'000'000'000;
constexpr std::uint64_t MostCalls = 1'000'000'000;
constexpr std::uint64_t TokensOfPrice = 1000;

void addUsage(Wire::Usage &sum, const Wire::Usage &usage)
{
    sum.set_input_tokens(sum.input_tokens() + usage.input_tokens());
    sum.set_output_tokens(sum.output_tokens() + usage.output_tokens());
    sum.set_calls(sum.calls() + usage.calls());
}

bool isAny(std::string_view wanted, const std::string &value)
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
    bounded.set_input_tokens(std::min(usage.input_tokens(), MostUsage));
    bounded.set_output_tokens(std::min(usage.output_tokens(), MostUsage));
    bounded.set_calls(std::min(usage.calls(), MostCalls));
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
    return (tokens + TokensOfPrice / 2) / TokensOfPrice + usage.calls() * version.call_price_micros();
}

void Ledger::add(const Wire::RequestRecord &settled)
{
    const std::string day = utcDay(settled.changed_at_ms());
    Wire::LedgerDay &sum = this->sums[{settled.key().organisation(), day, settled.version()}];
    sum.set_organisation(settled.key().organisation());
    sum.set_day(day);
    sum.set_version(settled.version());
    sum.set_bills(sum.bills() + 1);
    addUsage(*sum.mutable_usage(), settled.usage());
    sum.set_cost_micros(sum.cost_micros() + settled.cost_micros());
}

std::vector<Wire::LedgerDay> Ledger::days(std::string_view organisation, std::string_view day) const
{
    std::vector<Wire::LedgerDay> found;
    for (const auto &[place, sum] : this->sums) {
        if (!isAny(organisation, sum.organisation()) || !isAny(day, sum.day())) {
            continue;
        }
        found.push_back(sum);
    }
    return found;
}

void Ledger::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[place, sum] : this->sums) {
        *snapshot.add_ledger() = sum;
    }
}

void Ledger::restore(const Wire::StateSnapshot &snapshot)
{
    this->sums.clear();
    for (const Wire::LedgerDay &sum : snapshot.ledger()) {
        this->sums[{sum.organisation(), sum.day(), sum.version()}] = sum;
    }
}

} // namespace Apricothead
