#define BOOST_TEST_MODULE log
#include "main.h"

#include "unreadoutput.h"

#include <Apricothead/Transport>

#include <nlohmann/json.hpp>

#include <chrono>
#include <sstream>
#include <thread>

using namespace Apricothead;
using namespace Apricothead::Test;

BOOST_AUTO_TEST_CASE(eachEventHasABudgetAndFailuresAnother)
{
    LogBudget budget({.ordinary = 2, .failures = 3});
    BOOST_TEST(budget.take("sent", false, 10));
    BOOST_TEST(budget.take("sent", false, 10));
    BOOST_TEST(!budget.take("sent", false, 10));
    BOOST_TEST(budget.take("sent", true, 10));
    BOOST_TEST(budget.take("other", false, 10));
    BOOST_TEST(budget.take("sent", false, 11));
    const std::vector<LogOmission> omissions = budget.omissions(11);
    BOOST_REQUIRE(omissions.size() == 1U);
    BOOST_TEST((omissions.front() == LogOmission{.event = "sent", .lines = 1}));
    BOOST_TEST(budget.omissions(11).empty());
}

BOOST_AUTO_TEST_CASE(unreadOutputBlocksNobodyAndDroppedLinesAreCounted)
{
    UnreadOutput output;
    startLog("test", LogLevel::Info);
    constexpr unsigned LinesASecond = 2000;
    constexpr unsigned Seconds = 2;
    std::chrono::steady_clock::duration longest{};
    for (unsigned second = 0; second < Seconds; ++second) {
        for (unsigned line = 0; line < LinesASecond; ++line) {
            const auto before = std::chrono::steady_clock::now();
            logLine(LogLevel::Warning, "event-" + std::to_string(line % 10), {{"text", std::string(200, 'x')}});
            longest = std::max(longest, std::chrono::steady_clock::now() - before);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    }
    BOOST_TEST(longest < std::chrono::milliseconds(100));
    std::istringstream written(output.drain());
    logLine(LogLevel::Warning, "after", {});
    std::size_t lines = 0;
    for (std::string line; std::getline(written, line); ++lines) {
        BOOST_TEST(nlohmann::json::accept(line));
    }
    // All that was not written is counted.
    BOOST_TEST(lines > 0U);
    BOOST_TEST(droppedLogLines() + lines >= LinesASecond * Seconds);
    BOOST_TEST(output.drain().find("log-lines-left-out") != std::string::npos);
}
