#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Apricothead::Test {

Process::Process(const std::string &program, const std::vector<std::string> &arguments, std::string logFile) : logPath(std::move(logFile))
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t LogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&this->pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Process::~Process()
{
    this->kill();
}

void Process::signal(int number) const
{
    if (!this->ended) {
        ::kill(this->pid, number);
    }
}

void Process::kill()
{
    if (this->ended) {
        return;
    }
    ::kill(this->pid, SIGKILL);
    this->reap(0);
}

std::optional<int> Process::waitExit(std::chrono::milliseconds bound)
{
    constexpr std::chrono::milliseconds Interval{10};
    const auto end = std::chrono::steady_clock::now() + bound;
    while (this->isRunning() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(Interval);
    }
    if (!this->ended || !WIFEXITED(this->status)) {
        return std::nullopt;
    }
    return WEXITSTATUS(this->status);
}

bool Process::isRunning()
{
    if (!this->ended) {
        this->reap(WNOHANG);
    }
    return !this->ended;
}

pid_t Process::id() const
{
    return this->pid;
}

const std::string &Process::log() const
{
    return this->logPath;
}

void Process::reap(int options)
{
    this->ended = ::waitpid(this->pid, &this->status, options) == this->pid;
}

} // namespace Apricothead::Test
