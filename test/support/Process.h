#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Apricothead::Test {

/** \class Process
 * \brief One program that a test started; killed when it goes out of scope.
 */
class Process
{
public:
    /** Starts \a program; its output is appended to \a logFile. */
    Process(const std::string &program, const std::vector<std::string> &arguments, std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** Kills at once and waits for the end. */
    void kill();
    /** \returns the exit code, nothing when it did not end in time or was killed by a signal */
    std::optional<int> waitExit(std::chrono::milliseconds bound);
    bool isRunning();
    pid_t id() const;
    const std::string &log() const;

private:
    void reap(int options);

    pid_t pid = 0;
    bool ended = false;
    int status = 0;
    std::string logPath;
};

} // namespace Apricothead::Test
