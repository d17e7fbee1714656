// A core machine is cut off from the other two for some seconds while the operator orders two roll-outs of one service. Judged: what is read back of the
// order that was acknowledged last, before and after the processes of the core were killed and started again.
#include "Support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

using namespace Review;

namespace {

constexpr std::size_t Replicas = 3;
constexpr unsigned Ok = 200;
constexpr std::uint64_t StartBoundMs = 20'000;
/** A caller moves on to another node after a second without a response. */
constexpr std::uint64_t CallMs = 1000;
constexpr std::uint64_t PauseMs = 200;
constexpr std::uint64_t SettleMs = 2000;
constexpr std::uint64_t CutMs = 3500;
constexpr std::uint64_t FirstOrderMs = 100;
constexpr std::uint64_t SecondOrderMs = 500;
constexpr std::uint64_t ReadForMs = 3000;
constexpr std::uint64_t DownMs = 900;
/** Longest wait of a relay for bytes; the cut is looked at so often. */
constexpr int RelayTickMs = 5;
const std::string Service = "fleet";

std::string address(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

int listenOn(unsigned port)
{
    constexpr int Backlog = 64;
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(static_cast<std::uint16_t>(port));
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isListening = ::bind(file, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0 && ::listen(file, Backlog) == 0;
    if (!isListening) {
        endWith(2);
    }
    return file;
}

std::vector<unsigned> freePorts(std::size_t count)
{
    std::vector<Socket> open;
    std::vector<unsigned> ports;
    while (ports.size() < count) {
        open.emplace_back(listenOn(0));
        sockaddr_in own{};
        socklen_t size = sizeof(own);
        ::getsockname(open.back().descriptor(), reinterpret_cast<sockaddr *>(&own), &size);
        ports.push_back(ntohs(own.sin_port));
    }
    return ports;
}

/** \class Link
 * \brief The network before one replica. While it is cut, bytes of the cut peers wait in both directions, and so do new connections; nothing is reset.
 */
class Link
{
public:
    Link(unsigned port, std::string givenTarget) : target(std::move(givenTarget)), listener(listenOn(port))
    {
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                std::thread([this, accepted] {
                    this->relay(Socket(accepted));
                }).detach();
            }
        }).detach();
    }

    /** Peers are known by the identity that a replica writes into its messages. */
    void cut(std::set<std::string> peers)
    {
        const std::lock_guard lock(this->mutex);
        this->cutPeers = std::move(peers);
        this->isCut = true;
    }

    void heal()
    {
        this->isCut = false;
    }

private:
    struct Direction {
        const Socket &from;
        const Socket &to;
        std::string waiting = {};
        bool isEnded = false;
    };

    bool isHeld(const std::string &peer)
    {
        const std::lock_guard lock(this->mutex);
        return this->isCut && this->cutPeers.contains(peer);
    }

    /** \returns the identity of the sending replica, when \a bytes hold one */
    static std::string identityIn(const std::string &bytes)
    {
        constexpr std::size_t IdentityBytes = 18;
        constexpr std::string_view Digits = "0123456789abcdef";
        for (std::size_t at = bytes.find("r-"); at != std::string::npos && at + IdentityBytes <= bytes.size(); at = bytes.find("r-", at + 1)) {
            std::string identity = bytes.substr(at, IdentityBytes);
            if (identity.find_first_not_of(Digits, 2) == std::string::npos) {
                return identity;
            }
        }
        return {};
    }

    static void take(Direction &direction, bool isReadable)
    {
        if (isReadable && !direction.isEnded) {
            direction.isEnded = direction.from.receive(direction.waiting, 0) <= 0;
        }
    }

    void relay(const Socket &client)
    {
        while (this->isCut) {
            sleepMs(RelayTickMs);
        }
        const Socket server = Socket::connectTo(this->target, CallMs);
        Direction up{.from = client, .to = server};
        Direction down{.from = server, .to = client};
        std::string peer;
        while (server.isOpen()) {
            std::array<pollfd, 2> watched{pollfd{.fd = up.isEnded ? -1 : client.descriptor(), .events = POLLIN, .revents = 0},
                                          pollfd{.fd = down.isEnded ? -1 : server.descriptor(), .events = POLLIN, .revents = 0}};
            ::poll(watched.data(), watched.size(), RelayTickMs);
            Link::take(up, watched[0].revents != 0);
            Link::take(down, watched[1].revents != 0);
            if (peer.empty()) {
                peer = Link::identityIn(up.waiting);
            }
            if (this->isHeld(peer)) {
                continue;
            }
            for (Direction *direction : {&up, &down}) {
                if (!direction->to.send(std::exchange(direction->waiting, {})) || direction->isEnded) {
                    return;
                }
            }
        }
    }

    const std::string target;
    const int listener;
    std::mutex mutex;
    std::set<std::string> cutPeers;
    std::atomic<bool> isCut = false;
};

/** \class Core
 * \brief The replicas as processes, each behind its link.
 */
class Core
{
public:
    explicit Core(std::string givenFolder) : folder(std::move(givenFolder)), ports(freePorts(3 * Replicas))
    {
        for (std::size_t number = 0; number < Replicas; ++number) {
            this->links.push_back(std::make_unique<Link>(this->ports[number], address(this->ports[Replicas + number])));
        }
    }

    std::string control(std::size_t number) const
    {
        return address(this->ports[2 * Replicas + number]);
    }

    void start(std::size_t number, bool isFirstStart)
    {
        const std::string name = "core-" + std::to_string(number);
        std::string seeds;
        for (std::size_t seed = 0; seed < Replicas; ++seed) {
            seeds.append(seed == 0 ? "\"" : ",\"").append(address(this->ports[seed])).append("\"");
        }
        std::ofstream(this->folder + "/" + name + ".json")
            << R"({"process":")" << name << R"(","region":"region-1","availabilityZone":"zone-a","seeds":[)" << seeds
            << R"(],"memoryMb":256,"timing":{"shutdownMs":7800},"replica":{"address":")" << address(this->ports[number]) << R"(","listenAddress":")"
            << address(this->ports[Replicas + number]) << R"(","dataFolder":")" << this->folder << "/data-" << number << R"(","bootstrap":)"
            << (isFirstStart ? "true" : "false") << R"(,"snapshotEvery":64},"control":{"address":")" << this->control(number) << R"(","zones":["zone-a"]}})"
            << '\n';
        const std::string settings = "--settings=" + this->folder + "/" + name + ".json";
        const std::string log = this->folder + "/" + name + ".log";
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/app/apricothead", "apricothead", "serve", settings.c_str(), nullptr);
            std::_Exit(127);
        }
        this->processes[number] = child;
    }

    void killAll()
    {
        for (const pid_t process : this->processes) {
            ::kill(process, SIGKILL);
        }
        for (const pid_t process : this->processes) {
            ::waitpid(process, nullptr, 0);
        }
    }

    /** \returns the text that follows \a key in the last line of a replica's log that holds \a event; empty when there is none */
    std::string logged(std::size_t number, const std::string &event, const std::string &key) const
    {
        std::ifstream log(this->folder + "/core-" + std::to_string(number) + ".log");
        std::string found;
        for (std::string line; std::getline(log, line);) {
            const std::size_t at = line.find("\"" + key + "\":\"");
            if (line.find("\"" + event + "\"") == std::string::npos || at == std::string::npos) {
                continue;
            }
            const std::size_t start = at + key.size() + 4;
            found = line.substr(start, line.find('"', start) - start);
        }
        return found;
    }

    std::string identity(std::size_t number) const
    {
        return this->logged(number, "replica-started", "replica");
    }

    std::size_t leader() const
    {
        for (std::size_t number = 0; number < Replicas; ++number) {
            if (this->logged(number, "replica-role", "role") == "leader") {
                return number;
            }
        }
        return Replicas;
    }

    void cutOff(std::size_t number)
    {
        std::set<std::string> others;
        for (std::size_t other = 0; other < Replicas; ++other) {
            if (other != number) {
                others.insert(this->identity(other));
                this->links[other]->cut({this->identity(number)});
            }
        }
        this->links[number]->cut(others);
    }

    void heal()
    {
        for (const auto &link : this->links) {
            link->heal();
        }
    }

private:
    const std::string folder;
    const std::vector<unsigned> ports;
    std::vector<std::unique_ptr<Link>> links;
    std::array<pid_t, Replicas> processes{};
};

/** \class Operator
 * \brief Calls the control addresses and writes down what was answered.
 */
class Operator
{
public:
    Operator(Core &givenCore, Record &givenRecord) : core(givenCore), record(givenRecord)
    { }

    bool sendConfig(std::size_t node)
    {
        return this->call(node, "PUT", "/-/config", config()).status == Ok;
    }

    bool order(std::size_t node, const std::string &target)
    {
        const std::string body = R"({"service":")" + Service + R"(","target":")" + target + R"(","duration_s":60})";
        const Answer answer = this->call(node, "POST", "/-/rollouts", body);
        this->record.line("order of " + target + " to core-" + std::to_string(node) + ": status " + std::to_string(answer.status) + " after "
                          + std::to_string(answer.tookMs) + " ms");
        return answer.status == Ok;
    }

    /** \returns the target that is read back from any node; empty when none answers with 200 */
    std::string target()
    {
        const std::string mark = R"("target":")";
        for (const std::uint64_t endMs = nowMs() + StartBoundMs; nowMs() < endMs; sleepMs(PauseMs)) {
            for (std::size_t node = 0; node < Replicas; ++node) {
                const Answer answer = this->call(node, "GET", "/-/rollouts/" + Service, {});
                const std::size_t at = answer.body.find(mark);
                if (answer.status == Ok && at != std::string::npos) {
                    this->record.line("read back from core-" + std::to_string(node) + ": " + answer.body);
                    const std::size_t start = at + mark.size();
                    return answer.body.substr(start, answer.body.find('"', start) - start);
                }
            }
        }
        return {};
    }

private:
    Answer call(std::size_t node, const std::string &method, const std::string &path, const std::string &body)
    {
        return Review::call(this->core.control(node), method, path, {{"Host", this->core.control(node)}, {"Content-Type", "application/json"}}, body, CallMs);
    }

    Core &core;
    Record &record;
};

[[noreturn]] void giveUp(Record &record, const std::string &why)
{
    record.line(why);
    endWith(2);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Core core(argv[1]);
    for (std::size_t number = 0; number < Replicas; ++number) {
        core.start(number, true);
    }
    Operator caller(core, record);
    bool isAcknowledged = false;
    for (const std::uint64_t endMs = nowMs() + StartBoundMs; !isAcknowledged && nowMs() < endMs; sleepMs(PauseMs)) {
        isAcknowledged = caller.sendConfig(0);
    }
    sleepMs(SettleMs);
    const std::size_t leader = core.leader();
    if (!isAcknowledged || leader == Replicas) {
        giveUp(record, "the core did not start to serve");
    }
    const std::size_t apart = (leader + 1) % Replicas;
    record.line("the config is acknowledged; core-" + std::to_string(leader) + " leads");

    const std::uint64_t cutMs = nowMs();
    if (hasTrouble) {
        core.cutOff(apart);
        record.line("core-" + std::to_string(apart) + " is cut off from the other core machines; the operator reaches all");
    }
    sleepMs(FirstOrderMs);
    // The same order to the next node, as the pages say, when there was no clear response.
    const bool isFirstTaken = caller.order(apart, "v2") || caller.order(leader, "v2");
    sleepMs(SecondOrderMs);
    const bool isSecondTaken = caller.order(leader, "v3");
    if (!isFirstTaken || !isSecondTaken || caller.target() != "v3") {
        giveUp(record, "the orders were not taken");
    }
    sleepMs(cutMs + CutMs - std::min(cutMs + CutMs, nowMs()));
    if (hasTrouble) {
        core.heal();
        record.line("the cut has healed after " + std::to_string(nowMs() - cutMs) + " ms");
    }
    sleepMs(ReadForMs);
    const std::string before = caller.target();
    core.killAll();
    record.line("all processes of the core are killed; they start again with their disks");
    sleepMs(DownMs);
    for (std::size_t number = 0; number < Replicas; ++number) {
        core.start(number, false);
    }
    const std::string after = caller.target();
    core.killAll();
    record.line("acknowledged last: v3; read before the processes were killed: " + before + ", after: " + after);
    const bool isBroken = after != "v3";
    record.line(isBroken ? "LOST is broken" : "LOST held");
    endWith(isBroken ? 1 : 0);
}
