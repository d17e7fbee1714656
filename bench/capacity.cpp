// Slopes for docs/CAPACITY.md: bytes and processor time of control per worker, entry, session, admission and configuration change.
#include <Apricothead/Coordination>
#include <Apricothead/State>

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <cmath>
#include <ctime>
#include <functional>
#include <iostream>
#include <vector>

using namespace Apricothead;

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double NanosPerMicro = 1e3;
constexpr std::uint64_t SilenceMs = 3000;
constexpr std::uint64_t ForgetMs = 40000;
constexpr std::int64_t StartMs = 1'700'000'000'000;

double processorMicros()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * MicrosPerSecond + static_cast<double>(used.tv_nsec) / NanosPerMicro;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct Point {
    double count = 0;
    double value = 0;
};

/** Prints the points, and the least-squares line through them with its largest residual. */
void printSlope(const std::string &what, const std::string &unit, const std::vector<Point> &points)
{
    double sumCount = 0;
    double sumValue = 0;
    for (const Point &point : points) {
        sumCount += point.count;
        sumValue += point.value;
    }
    const auto size = static_cast<double>(points.size());
    double above = 0;
    double below = 0;
    for (const Point &point : points) {
        above += (point.count - sumCount / size) * (point.value - sumValue / size);
        below += (point.count - sumCount / size) * (point.count - sumCount / size);
    }
    const double slope = above / below;
    const double start = sumValue / size - slope * sumCount / size;
    nlohmann::ordered_json line{{"bench", "capacity"}, {"what", what}, {"unit", unit}, {"slope", slope}, {"start", start}};
    double residual = 0;
    for (const Point &point : points) {
        line["points"].push_back({point.count, point.value});
        residual = std::max(residual, std::abs(point.value - start - slope * point.count));
    }
    line["largestResidual"] = residual;
    std::cout << line.dump() << std::endl;
}

Wire::Heartbeat endpointHeartbeat(unsigned number)
{
    Wire::Heartbeat heartbeat;
    const std::string name = "endpoint-" + std::to_string(number);
    heartbeat.set_process(name);
    heartbeat.add_roles("endpoint");
    heartbeat.set_availability_zone("az-" + std::to_string(number % 12));
    Wire::EndpointStatus &status = *heartbeat.mutable_endpoint();
    status.set_endpoint(name);
    status.set_address("10.0.0.1:7201");
    status.set_availability_zone(heartbeat.availability_zone());
    status.set_incarnation(StartMs);
    status.set_healthy(true);
    Wire::ServedVersion &served = *status.add_served();
    served.set_model("model-" + std::to_string(number % 11));
    served.set_version(served.model() + "-1");
    return heartbeat;
}

void fillDirectory(Directory &directory, unsigned workers)
{
    for (unsigned number = 0; number < workers; ++number) {
        directory.recordHeartbeat(endpointHeartbeat(number), 1);
    }
}

double updateBytes(const Directory &directory)
{
    Wire::Envelope envelope;
    for (const Wire::EndpointStatus &status : directory.endpoints()) {
        *envelope.mutable_update()->add_endpoints() = status;
    }
    return static_cast<double>(envelope.ByteSizeLong());
}

void measureWorkers()
{
    std::vector<Point> memory;
    std::vector<Point> list;
    std::vector<Point> heartbeat;
    for (const unsigned workers : {15U, 100U, 400U, 800U, 1600U}) {
        const double before = heapBytes();
        Directory directory(SilenceMs, ForgetMs);
        fillDirectory(directory, workers);
        memory.push_back({double(workers), heapBytes() - before});
        list.push_back({double(workers), updateBytes(directory)});
        constexpr unsigned Beats = 500;
        const Wire::Heartbeat beat = endpointHeartbeat(0);
        const double started = processorMicros();
        std::uint64_t sum = 0;
        for (unsigned count = 0; count < Beats; ++count) {
            directory.recordHeartbeat(beat, 2);
            sum += directory.number();
        }
        heartbeat.push_back({double(workers), (processorMicros() - started) / Beats + (sum == 0 ? 1 : 0)});
    }
    printSlope("replica: memory of the directory, per worker", "bytes", memory);
    printSlope("list of endpoints sent to one process, per worker", "bytes", list);
    printSlope("replica: processor time of one heartbeat, per worker listed", "microseconds", heartbeat);
    std::cout
        << nlohmann::ordered_json{{"bench", "capacity"}, {"what", "heartbeat of an endpoint process"}, {"bytes", endpointHeartbeat(1).ByteSizeLong()}}.dump()
        << std::endl;
}

void measureEntries()
{
    std::vector<Point> digests;
    for (const unsigned entries : {3U, 10U, 50U, 100U, 340U}) {
        Wire::ClusterUpdate update;
        for (unsigned number = 0; number < entries; ++number) {
            Wire::EntryDigest &digest = *update.add_digests();
            digest.set_entry("entry-" + std::to_string(number));
            digest.set_incarnation(StartMs);
            for (unsigned organisation = 0; organisation < 10; ++organisation) {
                Wire::OrganisationDemand &demand = *digest.add_demands();
                demand.set_organisation("organisation-" + std::to_string(organisation));
                demand.set_requests_per_second(1.5);
                demand.set_tokens_per_second(300);
            }
        }
        digests.push_back({double(entries), double(update.ByteSizeLong())});
    }
    printSlope("digests answered to one heartbeat, per entry", "bytes", digests);
}

Wire::Command change(std::uint64_t revision, Wire::ConfigurationChange body)
{
    Wire::Command command;
    command.set_command_id("change-" + std::to_string(revision));
    command.set_expected_revision(revision);
    command.set_time_ms(StartMs);
    *command.mutable_change() = std::move(body);
    return command;
}

/** A state machine with one model and \a organisations that may use it. */
std::unique_ptr<StateMachine> machineWith(unsigned organisations)
{
    auto machine = std::make_unique<StateMachine>(StateMachineOptions{});
    std::uint64_t index = 0;
    const auto apply = [&](Wire::ConfigurationChange body) {
        const Wire::CommandResult result = machine->apply(change(machine->configuration().revision(), std::move(body)), ++index);
        if (!result.has_revision()) {
            std::cerr << result.ShortDebugString() << '\n';
            std::exit(1);
        }
    };
    Wire::ConfigurationChange model;
    model.mutable_put_model()->set_id("small");
    model.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
    apply(model);
    Wire::ConfigurationChange version;
    version.mutable_put_version()->set_id("small-1");
    version.mutable_put_version()->set_model("small");
    version.mutable_put_version()->set_state(Wire::VERSION_STATE_ACTIVE);
    apply(version);
    for (unsigned number = 0; number < organisations; ++number) {
        Wire::ConfigurationChange organisation;
        organisation.mutable_put_organisation()->set_id("organisation-" + std::to_string(number));
        organisation.mutable_put_organisation()->add_allowances()->set_model("small");
        apply(organisation);
    }
    return machine;
}

void measureConfiguration()
{
    std::vector<Point> bytes;
    std::vector<Point> micros;
    for (const unsigned organisations : {10U, 50U, 100U, 300U}) {
        const auto machine = machineWith(organisations);
        bytes.push_back({double(organisations), double(machine->configuration().ByteSizeLong())});
        constexpr unsigned Changes = 50;
        const double started = processorMicros();
        for (unsigned count = 0; count < Changes; ++count) {
            Wire::ConfigurationChange body;
            body.mutable_put_organisation()->set_id("organisation-0");
            body.mutable_put_organisation()->add_allowances()->set_model("small");
            const Wire::CommandResult result = machine->apply(change(machine->configuration().revision(), body), 10000 + count);
            if (!result.has_revision()) {
                std::cerr << result.ShortDebugString() << '\n';
                std::exit(1);
            }
        }
        micros.push_back({double(organisations), (processorMicros() - started) / Changes});
    }
    printSlope("configuration sent to one process at each change, per organisation", "bytes", bytes);
    printSlope("replica: processor time of one change, per organisation", "microseconds", micros);
}

void measureAdmissions()
{
    std::vector<Point> memory;
    std::vector<Point> micros;
    for (const unsigned requests : {1000U, 5000U, 20000U, 50000U}) {
        const auto machine = machineWith(10);
        const double before = heapBytes();
        const double started = processorMicros();
        for (unsigned number = 0; number < requests; ++number) {
            Wire::Command command;
            command.set_time_ms(StartMs);
            Wire::Admit &admit = *command.mutable_admit();
            admit.mutable_key()->set_organisation("organisation-" + std::to_string(number % 10));
            admit.mutable_key()->set_key("request-" + std::to_string(number));
            admit.set_attempt(1);
            admit.set_model("small");
            admit.set_version("small-1");
            admit.set_endpoint("endpoint-" + std::to_string(number % 15));
            admit.set_incarnation(1);
            admit.set_session("session-" + std::to_string(number));
            machine->apply(command, 100000 + 2 * number);
            Wire::Command ended;
            ended.set_time_ms(StartMs);
            *ended.mutable_settle()->mutable_key() = admit.key();
            ended.mutable_settle()->set_attempt(1);
            ended.mutable_settle()->set_outcome(Wire::OUTCOME_WHOLE);
            machine->apply(ended, 100001 + 2 * number);
        }
        micros.push_back({double(requests), processorMicros() - started});
        memory.push_back({double(requests), heapBytes() - before});
    }
    printSlope("replica: memory of a record with its session", "bytes", memory);
    printSlope("replica: processor time of one admission and settlement in the state machine", "microseconds", micros);
}

} // namespace

int main()
{
    measureWorkers();
    measureEntries();
    measureConfiguration();
    measureAdmissions();
    return 0;
}
