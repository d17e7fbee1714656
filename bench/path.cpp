// The whole path as processes on loopback: added latency, requests per second of one entry, memory and processor time of each role.
// Needs APRICOTHEAD_BINARY and APRICOTHEAD_TOOLS, as ctest sets them. Prints JSON lines.
#include "support/Cluster.h"

#include <Apricothead/Transport>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr int FirstTokenMs = 20;
constexpr int TokenDelayMs = 10;
constexpr int Tokens = 16;
/** Below the ports of the cluster. */
constexpr int FirstPort = 11000;
constexpr int PortCount = 900;
constexpr std::chrono::milliseconds LoadedTime{1000};
constexpr std::chrono::milliseconds ThroughputTime{5000};
constexpr std::chrono::milliseconds IdleTime{2000};

struct LoadOptions {
    std::vector<std::string> urls;
    unsigned streams = 1;
    std::size_t requests = 0;
    /** In place of a count of requests; zero means none. */
    std::chrono::milliseconds time{0};
    int tokens = Tokens;
    /** An engine is asked for the version, an entry for the model. */
    std::string model = "small";
};

struct LoadResult {
    std::vector<double> firstByteMs;
    std::size_t whole = 0;
    std::size_t broken = 0;
    double seconds = 0;

    double percentile(double share) const
    {
        if (this->firstByteMs.empty()) {
            return 0;
        }
        return this->firstByteMs[std::min(this->firstByteMs.size() - 1, static_cast<std::size_t>(share * static_cast<double>(this->firstByteMs.size())))];
    }
};

double nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(now).count();
}

/** Keeps a number of streamed chats under way until enough were made. */
class Load
{
public:
    explicit Load(LoadOptions loadOptions) : options(std::move(loadOptions)), client(this->loop), slots(this->options.streams)
    { }

    LoadResult run()
    {
        this->startMs = nowMs();
        for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
            this->startNext(slot);
        }
        this->loop.run();
        this->result.seconds = (nowMs() - this->startMs) / 1000;
        std::sort(this->result.firstByteMs.begin(), this->result.firstByteMs.end());
        return this->result;
    }

private:
    struct Slot {
        std::unique_ptr<HttpCall> call;
        double startedMs = 0;
        bool hasByte = false;
        std::string tail;
    };

    bool wantsMore() const
    {
        if (this->options.time.count() > 0) {
            return nowMs() - this->startMs < static_cast<double>(this->options.time.count());
        }
        return this->started < this->options.requests;
    }

    void startNext(std::size_t number)
    {
        if (!this->wantsMore()) {
            if (++this->idle == this->slots.size()) {
                this->loop.stop();
            }
            return;
        }
        Slot &slot = this->slots[number];
        slot.hasByte = false;
        slot.tail.clear();
        slot.startedMs = nowMs();
        HttpCallOptions call;
        call.method = "POST";
        call.url = this->options.urls[this->started % this->options.urls.size()] + "/v1/chat/completions";
        call.headers = {{"authorization", "Bearer key-creek"}, {"content-type", "application/json"}};
        const std::string prompt = "bench " + std::to_string(::getpid()) + " " + std::to_string(this->started++);
        call.body = nlohmann::json{{"model", this->options.model},
                                   {"stream", true},
                                   {"max_tokens", this->options.tokens},
                                   {"messages", {{{"role", "user"}, {"content", prompt}}}}}
                        .dump();
        call.onData = [this, &slot](std::string_view data) {
            this->take(slot, data);
        };
        call.onDone = [this, number](const HttpResult &ended) {
            this->end(number, ended);
        };
        slot.call = this->client.start(std::move(call));
    }

    void take(Slot &slot, std::string_view data)
    {
        constexpr std::size_t TailBytes = 64;
        if (!slot.hasByte && data.find("data:") != std::string_view::npos) {
            slot.hasByte = true;
            this->result.firstByteMs.push_back(nowMs() - slot.startedMs);
        }
        slot.tail.append(data);
        slot.tail.erase(0, slot.tail.size() - std::min(slot.tail.size(), TailBytes));
    }

    void end(std::size_t number, const HttpResult &ended)
    {
        const bool isWhole = ended.whole && ended.status == 200 && this->slots[number].tail.find("[DONE]") != std::string::npos;
        ++(isWhole ? this->result.whole : this->result.broken);
        this->loop.post([this, number] {
            this->slots[number].call.reset();
            this->startNext(number);
        });
    }

    LoadOptions options;
    EventLoop loop;
    HttpClient client;
    std::vector<Slot> slots;
    LoadResult result;
    double startMs = 0;
    std::size_t started = 0;
    std::size_t idle = 0;
};

/** One process of the cluster as the kernel counts it. */
struct Usage {
    double residentMb = 0;
    double cpuMs = 0;
};

Usage usageOf(pid_t pid)
{
    Usage usage;
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            usage.residentMb = std::stod(line.substr(6)) / 1024;
        }
    }
    std::ifstream statFile(folder + "/stat");
    std::string stat((std::istreambuf_iterator<char>(statFile)), std::istreambuf_iterator<char>());
    std::istringstream fields(stat.substr(stat.rfind(')') + 2));
    std::string skipped;
    // After the state, utime and stime are the 14th and 15th field of the line.
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuMs = (user + system) * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return usage;
}

nlohmann::json settingsOf(const Cluster &cluster, const std::string &process)
{
    std::ifstream file(cluster.folder() + "/" + process + ".json");
    return nlohmann::json::parse(file);
}

/** The cluster, and one more entry without a replica beside it, so that roles can be told apart. */
class Bench
{
public:
    Bench()
        : cluster(ClusterOptions{.engineArguments = {"--first_token_ms=" + std::to_string(FirstTokenMs), "--token_delay_ms=" + std::to_string(TokenDelayMs)}})
    {
        nlohmann::json settings = settingsOf(this->cluster, "entry-1");
        settings.erase("replica");
        settings["process"] = "entry-alone";
        const std::string own = settings["entry"]["callerAddress"];
        const std::string address = "127.0.0.1:" + std::to_string(FirstPort + ::getpid() % PortCount);
        settings["entry"]["callerAddress"] = address;
        settings["logLevel"] = std::getenv("BENCH_LOG") != nullptr ? "info" : "warning";
        const std::string file = this->cluster.folder() + "/entry-alone.json";
        std::ofstream(file) << settings.dump();
        const char *binary = std::getenv("APRICOTHEAD_BINARY");
        this->entry = std::make_unique<Process>(binary, std::vector<std::string>{"serve", "--settings=" + file}, this->cluster.folder() + "/entry-alone.log");
        this->url = "http://" + address;
        for (unsigned number = 1; number <= 3; ++number) {
            const std::string name = "endpoint-" + std::to_string(number);
            this->engines.push_back(settingsOf(this->cluster, name)["endpoint"]["engineUrl"]);
            this->endpoints.push_back(name);
            this->replicas.push_back("entry-" + std::to_string(number));
        }
        const bool isReady = waitUntil([this] {
            return Load({.urls = {this->url}, .requests = 1, .tokens = 1}).run().whole == 1;
        });
        if (!isReady) {
            throw std::runtime_error("the entry is not ready; logs in " + this->cluster.folder());
        }
    }

    void latency(unsigned streams, std::size_t requests)
    {
        const LoadResult direct = Load({.urls = this->engines, .streams = streams, .requests = requests, .model = "small-1"}).run();
        const LoadResult path = Load({.urls = {this->url}, .streams = streams, .requests = requests}).run();
        this->print({{"figure", "added-latency"},
                     {"streams", streams},
                     {"requests", requests},
                     {"brokenDirect", direct.broken},
                     {"brokenPath", path.broken},
                     {"directP50Ms", direct.percentile(0.5)},
                     {"directP99Ms", direct.percentile(0.99)},
                     {"pathP50Ms", path.percentile(0.5)},
                     {"pathP99Ms", path.percentile(0.99)},
                     {"addedP50Ms", path.percentile(0.5) - direct.percentile(0.5)},
                     {"addedP99Ms", path.percentile(0.99) - direct.percentile(0.99)}});
    }

    void memory(const std::string &when)
    {
        this->print({{"figure", "resident-memory"},
                     {"when", when},
                     {"entryMb", usageOf(this->entry->id()).residentMb},
                     {"endpointMb", usageOf(this->cluster.process("endpoint-1").id()).residentMb},
                     {"entryWithReplicaMb", usageOf(this->cluster.process("entry-1").id()).residentMb}});
    }

    void throughput(unsigned streams)
    {
        this->cluster.controlEngines({{"firstTokenMs", 0}, {"tokenDelayMs", 0}});
        const double entryBefore = usageOf(this->entry->id()).cpuMs;
        const double endpointsBefore = this->cpuMs(this->endpoints);
        const double replicasBefore = this->cpuMs(this->replicas);
        const LoadResult load = Load({.urls = {this->url}, .streams = streams, .time = ThroughputTime, .tokens = 1}).run();
        const double requests = static_cast<double>(std::max<std::size_t>(1, load.whole));
        this->print({{"figure", "throughput"},
                     {"streams", streams},
                     {"whole", load.whole},
                     {"broken", load.broken},
                     {"requestsPerSecond", static_cast<double>(load.whole) / load.seconds},
                     {"firstByteP50Ms", load.percentile(0.5)},
                     {"firstByteP99Ms", load.percentile(0.99)},
                     {"entryCpuMsPerRequest", (usageOf(this->entry->id()).cpuMs - entryBefore) / requests},
                     {"endpointCpuMsPerRequest", (this->cpuMs(this->endpoints) - endpointsBefore) / requests},
                     {"threeReplicasCpuMsPerRequest", (this->cpuMs(this->replicas) - replicasBefore) / requests}});
    }

    void idleCpu()
    {
        const double entryBefore = usageOf(this->entry->id()).cpuMs;
        const double endpointsBefore = this->cpuMs(this->endpoints);
        std::this_thread::sleep_for(IdleTime);
        const double percent = 100.0 / static_cast<double>(IdleTime.count());
        this->print({{"figure", "idle-processor-share"},
                     {"entryPercent", (usageOf(this->entry->id()).cpuMs - entryBefore) * percent},
                     {"endpointPercent", (this->cpuMs(this->endpoints) - endpointsBefore) * percent / static_cast<double>(this->endpoints.size())}});
    }

    void memoryUnderLoad(unsigned streams)
    {
        std::thread load([&] {
            Load({.urls = {this->url}, .streams = streams, .requests = streams * std::size_t{8}}).run();
        });
        std::this_thread::sleep_for(LoadedTime);
        this->memory(std::to_string(streams) + " streams");
        load.join();
    }

private:
    double cpuMs(const std::vector<std::string> &names)
    {
        double sum = 0;
        for (const std::string &name : names) {
            sum += usageOf(this->cluster.process(name).id()).cpuMs;
        }
        return sum;
    }

    void print(const nlohmann::ordered_json &line) const
    {
        std::cout << line.dump() << std::endl;
    }

    Cluster cluster;
    std::unique_ptr<Process> entry;
    std::string url;
    std::vector<std::string> engines;
    std::vector<std::string> endpoints;
    std::vector<std::string> replicas;
};

} // namespace

int main()
{
    try {
        Bench bench;
        bench.memory("idle");
        bench.idleCpu();
        bench.latency(1, 60);
        bench.latency(16, 640);
        bench.latency(128, 2560);
        bench.memoryUnderLoad(128);
        bench.throughput(16);
        bench.throughput(128);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
