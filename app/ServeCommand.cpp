#include "Commands.h"
#include "RoleThread.h"
#include "SettingsArgument.h"

#include <Apricothead/Coordination>
#include <Apricothead/Gateway>

#include <platform/ControlTask.h>
#include <platform/PlatformDialect.h>

#include <csignal>
#include <iostream>
#include <vector>

namespace Apricothead {
namespace {

LogLevel levelFromName(const std::string &name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

/** Signals that the serving thread waits for; blocked in every thread. */
sigset_t awaitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/** \returns an empty text, or why the task could not start */
template <class Task>
std::string startTask(Task &task)
{
    try {
        task.start();
    } catch (const std::exception &error) {
        return error.what();
    }
    return {};
}

std::string startTask(ReplicaTask &task)
{
    const StoreResult<void> started = task.start();
    return started.has_value() ? std::string() : started.error().message;
}

/** A replica, and the calls that operators and endpoints of a platform make to it, on one loop. */
class ControlledReplica
{
public:
    ControlledReplica(EventLoop &loop, const ReplicaTaskOptions &options)
        : replica(std::make_unique<ReplicaTask>(loop, options)), control(std::make_unique<Platform::ControlTask>(loop, options.settings, *this->replica))
    { }

    void start()
    {
        const std::string failed = startTask(*this->replica);
        if (!failed.empty()) {
            throw std::runtime_error(failed);
        }
        this->control->start();
    }

    void stop(std::function<void()> stopped)
    {
        this->control.reset();
        this->replica->stop(std::move(stopped));
    }

private:
    std::unique_ptr<ReplicaTask> replica;
    std::unique_ptr<Platform::ControlTask> control;
};

/** The process's roles, stopped one after the other: entries first, since they need the replicas to settle. */
class Server
{
public:
    Server(Settings given, std::string settingsPath) : settings(std::move(given)), path(std::move(settingsPath))
    { }

    int run()
    {
        const sigset_t signals = awaitedSignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        this->startRoles();
        int signal = 0;
        sigwait(&signals, &signal);
        while (signal == SIGHUP && !this->failed) {
            this->reload();
            sigwait(&signals, &signal);
        }
        if (this->failed) {
            this->endNow(ExitFailure);
        }
        logLine(LogLevel::Info, "stopping", {{"signal", std::int64_t(signal)}});
        return this->stopRoles(signals);
    }

private:
    /** Makes the role \a name: a task of type \a Task with its options. */
    template <class Task, class Options>
    void add(const std::string &name, Options options)
    {
        this->roles.push_back(std::make_unique<RoleThread>(
            name,
            [options](EventLoop &loop) {
                auto task = std::make_shared<Task>(loop, options);
                return RoleHooks{
                    .start =
                        [task = task.get()] {
                            return startTask(*task);
                        },
                    .stop =
                        [task = task.get()](const std::function<void()> &stopped) {
                            task->stop(stopped);
                        },
                    .task = task,
                };
            },
            [this, name](const std::string &reason) {
                this->fail(name, reason);
            }));
    }

    /**
     * Reads the settings again and says what became of it. Addresses, folders and bounds of a running role stay as they are until its next
     * start: replicas that join or leave are learned from the group.
     */
    void reload()
    {
        const SettingsResult read = readSettingsFile(this->path);
        if (!read) {
            logLine(LogLevel::Error, "settings-refused", {{"path", read.error().front().path}, {"message", read.error().front().message}});
            return;
        }
        const bool isChanged = !(read.value() == this->settings);
        setLogLevel(levelFromName(read.value().logLevel));
        logLine(LogLevel::Info, "settings-reloaded", {{"changed", isChanged}});
        this->settings = read.value();
    }

    void startRoles()
    {
        if (this->settings.entry) {
            this->add<EntryTask>("entry", EntryTaskOptions{.settings = this->settings});
        }
        if (this->settings.endpoint) {
            this->add<EndpointTask>("endpoint", EndpointTaskOptions{.settings = this->settings});
        }
        if (this->settings.gateway) {
            this->add<GatewayTask>("gateway", GatewayTaskOptions{.settings = this->settings, .dialect = Platform::platformDialect()});
        }
        const ReplicaTaskOptions replica{.settings = this->settings, .onFailed = [this](const std::string &reason) {
                                             this->fail("replica", reason);
                                         }};
        if (this->settings.control) {
            this->add<ControlledReplica>("replica", replica);
        } else if (this->settings.replica) {
            this->add<ReplicaTask>("replica", replica);
        }
    }

    void fail(const std::string &role, const std::string &reason)
    {
        logLine(LogLevel::Error, "role-failed", {{"role", role}, {"reason", reason}});
        std::cerr << "apricothead: the " << role << " role failed: " << reason << '\n';
        this->failed = true;
        ::kill(::getpid(), SIGTERM);
    }

    int stopRoles(const sigset_t &signals)
    {
        const auto deadline = std::chrono::steady_clock::now() + this->settings.timing.shutdown;
        for (const auto &role : this->roles) {
            if (!this->stopOne(*role, signals, deadline)) {
                logLine(LogLevel::Error, "shutdown-cut", {{"role", role->name()}});
                std::cerr << "apricothead: shutdown cut the " << role->name() << " role short\n";
                this->endNow(ExitCut);
            }
        }
        logLine(LogLevel::Info, "stopped");
        return ExitSuccess;
    }

    /** \returns false when a second signal or the deadline came first */
    static bool stopOne(RoleThread &role, const sigset_t &signals, std::chrono::steady_clock::time_point deadline)
    {
        constexpr timespec Slice{.tv_sec = 0, .tv_nsec = 20'000'000};
        auto done = std::make_shared<std::atomic<bool>>(false);
        role.stop([done] {
            *done = true;
        });
        while (!*done) {
            const int signal = sigtimedwait(&signals, nullptr, &Slice);
            if ((signal > 0 && signal != SIGHUP) || std::chrono::steady_clock::now() > deadline) {
                return false;
            }
        }
        return true;
    }

    /** Ends without waiting for threads that may hang. */
    [[noreturn]] static void endNow(int code)
    {
        std::clog.flush();
        std::_Exit(code);
    }

    Settings settings;
    std::string path;
    std::atomic<bool> failed = false;
    std::vector<std::unique_ptr<RoleThread>> roles;
};

} // namespace

int serve(const CommandLine &line)
{
    const SettingsResult settings = settingsOrFaults(line.settings);
    if (!settings) {
        return ExitUsage;
    }
    startLog(settings.value().process, levelFromName(settings.value().logLevel));
    logMessageErrors();
    ByteBudget::process().setMemory(settings.value().memoryMb);
    return Server(settings.value(), line.settings).run();
}

} // namespace Apricothead
