#include "Log.h"

#include "LogBudget.h"
#include "WallClock.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <climits>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace Apricothead {
namespace {

/** Up to this size a write to a pipe is taken whole or, as poll tells, not at all. */
constexpr std::size_t MostLineBytes = PIPE_BUF;
constexpr std::int64_t MsPerSecond = 1000;

/** Writes lines to standard output and never waits for its reader: a line that does not fit is counted and dropped. */
class StandardOutput : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const boost::log::record_view &, const string_type &line)
    {
        std::string bytes = line.substr(0, MostLineBytes - 1);
        bytes.push_back('\n');
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool fits = poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
        this->wasTaken = fits && write(STDOUT_FILENO, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
    }

    /** Whether the last line was written. */
    bool wasTaken = true;
};

struct LogState {
    std::string process;
    std::atomic<LogLevel> least = LogLevel::Info;
    std::atomic<bool> started = false;
    boost::shared_ptr<StandardOutput> output;
    std::mutex mutex;
    LogBudget budget;
    std::atomic<std::uint64_t> dropped = 0;
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

/** \returns false when nobody took the line */
bool writeLine(LogState &state, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
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
    return state.output->wasTaken;
}

void writeOmissions(LogState &state, std::uint64_t second)
{
    for (const LogOmission &omission : state.budget.omissions(second)) {
        state.dropped += omission.lines;
        writeLine(state, LogLevel::Warning, "log-lines-left-out", {{"of", omission.event}, {"lines", omission.lines}});
    }
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
    state.output = boost::make_shared<StandardOutput>();
    using Sink = boost::log::sinks::synchronous_sink<StandardOutput>;
    boost::log::core::get()->add_sink(boost::make_shared<Sink>(state.output));
    state.started = true;
}

void setLogLevel(LogLevel least)
{
    logState().least = least;
}

std::uint64_t droppedLogLines()
{
    return logState().dropped;
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    LogState &state = logState();
    if (!state.started || level < state.least) {
        return;
    }
    const auto second = static_cast<std::uint64_t>(wallClockMs() / MsPerSecond);
    const std::lock_guard lock(state.mutex);
    writeOmissions(state, second);
    if (!state.budget.take(event, level >= LogLevel::Warning, second)) {
        return;
    }
    if (!writeLine(state, level, event, fields)) {
        state.budget.lost(event);
    }
}

} // namespace Apricothead
