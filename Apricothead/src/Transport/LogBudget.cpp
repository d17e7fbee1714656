#include "LogBudget.h"

namespace Apricothead {

LogBudget::LogBudget(LogBudgetOptions given) : options(given)
{ }

bool LogBudget::take(std::string_view event, bool isFailure, std::uint64_t now)
{
    Used &known = this->used[{std::string(event), isFailure}];
    if (known.second != now) {
        known = {.second = now};
    }
    if (known.lines >= (isFailure ? this->options.failures : this->options.ordinary)) {
        this->lost(event);
        return false;
    }
    ++known.lines;
    return true;
}

void LogBudget::lost(std::string_view event)
{
    ++this->omitted[std::string(event)];
}

std::vector<LogOmission> LogBudget::omissions(std::uint64_t now)
{
    std::vector<LogOmission> told;
    if (now == this->reportedSecond) {
        return told;
    }
    this->reportedSecond = now;
    for (const auto &[event, lines] : this->omitted) {
        told.push_back({.event = event, .lines = lines});
    }
    this->omitted.clear();
    return told;
}

} // namespace Apricothead
