#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Apricothead {

/** \enum LogLevel
 * \ingroup Transport_Module
 * \brief Severity of a log line.
 */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** \class LogField
 * \ingroup Transport_Module
 * \brief One name and value of a JSON log line.
 */
struct LogField {
    std::string_view name;
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

/** Sets the least level that is written. Lines go to standard output. */
void startLog(std::string_view process, LogLevel least);

/** Changes the least level that is written. */
void setLogLevel(LogLevel least);

/** \returns lines that were left out so far, as told by lines of their own */
std::uint64_t droppedLogLines();

/**
 * Writes one JSON line, bounded and without ever waiting for a reader: lines over the budget of their event, and lines that nobody takes, are
 * counted and told of a second later. Failures have a budget of their own.
 *
 * Each line has: time, process, level, \a event (a short kebab-case name) and \a fields. Never pass keys of callers or text of prompts. */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Apricothead
