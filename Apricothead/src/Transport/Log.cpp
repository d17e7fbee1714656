#include "Log.h"
#include "WallClock.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <iostream>

namespace Apricothead {
namespace {

struct LogState {
    std::string process;
    std::atomic<LogLevel> least = LogLevel::Info;
    bool started = false;
};

LogState &logState()
{
    static LogState state;
    return state;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

} // namespace

void startLog(std::string_view process, LogLevel least)
{
    LogState &state = logState();
    state.process = process;
    state.least = least;
    if (state.started) {
        return;
    }
    state.started = true;
    namespace Expressions = boost::log::expressions;
    boost::log::add_console_log(
        std::clog, boost::log::keywords::format = Expressions::stream << Expressions::smessage, boost::log::keywords::auto_flush = true);
}

void setLogLevel(LogLevel least)
{
    logState().least = least;
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const LogState &state = logState();
    if (!state.started || level < state.least) {
        return;
    }
    nlohmann::ordered_json line;
    line["timeMs"] = wallClockMs();
    line["process"] = state.process;
    line["level"] = levelName(level);
    line["event"] = event;
    for (const LogField &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[std::string(field.name)] = value;
            },
            field.value);
    }
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Apricothead
