// A consumer's request states two lengths of its body, and the body looks like a request. Judged: what the worker runs.
#include "Support.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace Review;

namespace {

constexpr std::uint64_t WaitMs = 1500;

const std::string Inner = "POST /booking/inner HTTP/1.1\r\nHost: desk.example\r\nApricothead-Request-Id: inner\r\nApricothead-Deadline-Ms: 1500\r\n"
                          "Authorization: Bearer key-of-the-crew\r\nContent-Length: 0\r\n\r\n";

std::string outer(const std::string &id, const std::string &lengths)
{
    return "POST /booking/outer HTTP/1.1\r\nHost: desk.example\r\nApricothead-Request-Id: " + id
        + "\r\nApricothead-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-the-crew\r\n" + lengths + "\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    waitUntilServing(options, record);

    const std::string length = "Content-Length: " + std::to_string(Inner.size()) + "\r\n";
    const std::string folded = "Content-Length:\r\n " + std::to_string(Inner.size()) + "\r\n";
    struct Request {
        std::string id;
        std::string lengths;
    };
    std::vector<Request> requests{{"outer-plain", length}};
    if (options.hasTrouble) {
        requests.push_back({"outer-two-lengths", "Content-Length: 0\r\n" + length});
        requests.push_back({"outer-folded-length", folded});
    }
    for (const Request &request : requests) {
        const Socket connection = Socket::connectTo(options.gateway, WaitMs);
        connection.send(outer(request.id, request.lengths) + Inner);
        std::string answers;
        for (const std::uint64_t endMs = nowMs() + WaitMs; nowMs() < endMs;) {
            if (connection.receive(answers, endMs - std::min(endMs, nowMs())) <= 0) {
                break;
            }
        }
        unsigned count = 0;
        for (std::size_t at = answers.find("HTTP/1.1 "); at != std::string::npos; at = answers.find("HTTP/1.1 ", at + 1)) {
            ++count;
        }
        record.line(request.id + ": sent one request with a body of " + std::to_string(Inner.size())
                    + " bytes; answers on its channel: " + std::to_string(count) + ", the first: " + answers.substr(0, answers.find('\r')));
    }
    bool isBroken = false;
    for (const Run &run : desk.runs()) {
        const bool isSmuggled = run.id == "inner";
        const bool isChanged = run.id.starts_with("outer-") && run.bodyBytes != Inner.size();
        isBroken = isBroken || isSmuggled || isChanged;
        record.line("worker i-desk-1 ran id " + run.id + ": " + run.requestLine + ", body of " + std::to_string(run.bodyBytes) + " bytes"
                    + (isSmuggled ? "; no consumer sent this id as a request" : "") + (isChanged ? "; the body was changed" : ""));
    }
    record.line(isBroken ? "UNASKED is broken" : "UNASKED held");
    endWith(isBroken ? 1 : 0);
}
