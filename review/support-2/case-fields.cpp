// A crowd of consumers sends heads of very many short fields and bodies that stop one byte short of their end. Judged: the memory of the gateway's process.
#include "Support.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace Review;

namespace {

constexpr unsigned Crowd = 890;
constexpr unsigned FieldsOfOne = 1000;
constexpr unsigned BodyBytes = 1000;
constexpr std::uint64_t WatchMs = 15'000;
constexpr std::uint64_t LookupMs = 1000;
/** The memory of a front machine of the site: memory_mb = 110. */
constexpr long MachineKb = 110L * 1024;

/** \returns a head that is legal in size, with names of two letters */
std::string head(unsigned number)
{
    std::string bytes = "POST /status/crowd HTTP/1.1\r\nHost: desk.example\r\nApricothead-Request-Id: crowd-" + std::to_string(number)
        + "\r\nApricothead-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n";
    const std::string letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    for (unsigned count = 0; count < FieldsOfOne; ++count) {
        bytes.append({letters[count / letters.size()], letters[count % letters.size()]}).append(":1\r\n");
    }
    return bytes + "\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    const Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    waitUntilServing(options, record);
    record.line("gateway at rest: VmRSS " + std::to_string(memoryKb(options.gatewayProcess, "VmRSS")) + " kB, of which RssAnon "
                + std::to_string(memoryKb(options.gatewayProcess, "RssAnon")) + " kB");

    std::vector<Socket> crowd;
    if (options.hasTrouble) {
        record.line(std::to_string(Crowd) + " connections send a head of " + std::to_string(head(0).size()) + " bytes with " + std::to_string(FieldsOfOne)
                    + " short fields, and " + std::to_string(BodyBytes - 1) + " of " + std::to_string(BodyBytes) + " bytes of a body");
    }
    for (unsigned number = 0; options.hasTrouble && number < Crowd; ++number) {
        crowd.push_back(Socket::connectTo(options.gateway, LookupMs));
        crowd.back().send(head(number) + std::string(BodyBytes - 1, 'b'));
    }

    long mostAnonymousKb = 0;
    unsigned lookups = 0;
    unsigned served = 0;
    for (const std::uint64_t endMs = nowMs() + WatchMs; nowMs() < endMs; ++lookups) {
        const std::string id = "lookup-" + std::to_string(lookups);
        served += call(options.gateway, "GET", "/status/x", consumerFields(id, LookupMs), {}, LookupMs).status == 200 ? 1 : 0;
        const long anonymousKb = memoryKb(options.gatewayProcess, "RssAnon");
        mostAnonymousKb = std::max(mostAnonymousKb, anonymousKb);
        record.line("gateway: VmRSS " + std::to_string(memoryKb(options.gatewayProcess, "VmRSS")) + " kB, RssAnon " + std::to_string(anonymousKb) + " kB");
        sleepMs(LookupMs);
    }
    record.line("ordinary lookups served: " + std::to_string(served) + " of " + std::to_string(lookups));
    record.line("the process's own memory at its peak: " + std::to_string(mostAnonymousKb) + " kB; its machine has " + std::to_string(MachineKb) + " kB");
    const bool isBroken = mostAnonymousKb > MachineKb;
    record.line(isBroken ? "the process needs more than the memory of its machine" : "the process stays within the memory of its machine");
    endWith(isBroken ? 1 : 0);
}
