#define BOOST_TEST_MODULE coldrate
#include "main.h"

#include <Apricothead/Decisions>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace Apricothead;

namespace {

constexpr double PerSecond = 9.1;
constexpr std::uint64_t LengthMs = 20000;
constexpr std::uint64_t SecondMs = 1000;
constexpr std::uint64_t StartMs = 1'800'000'000'000;

/** Gateways that each want to send to one cold endpoint in every millisecond. */
class Gateways
{
public:
    /** The last \a cut of \a count gateways keep their places while the others divide the turns anew. */
    Gateways(std::uint32_t count, std::uint32_t cut)
    {
        for (std::uint32_t rank = 0; rank < count; ++rank) {
            const bool isCut = rank >= count - cut;
            this->rates.emplace_back().setPlace(rank, isCut ? count : count - cut);
        }
    }

    /** \returns when requests arrive at the endpoint, each up to \a delayMs after it was sent */
    std::vector<std::uint64_t> arrivals(std::uint64_t delayMs)
    {
        std::vector<std::uint64_t> arrivedMs;
        std::minstd_rand random(7);
        std::uniform_int_distribution<std::uint64_t> delay(0, delayMs);
        for (std::uint64_t timeMs = StartMs; timeMs < StartMs + LengthMs; ++timeMs) {
            for (ColdRate &rate : this->rates) {
                if (rate.canSend("e-1", PerSecond, timeMs)) {
                    rate.recordSent("e-1", PerSecond, timeMs);
                    arrivedMs.push_back(timeMs + delay(random));
                }
            }
        }
        std::sort(arrivedMs.begin(), arrivedMs.end());
        return arrivedMs;
    }

private:
    std::vector<ColdRate> rates;
};

std::size_t mostInASecond(const std::vector<std::uint64_t> &arrivedMs)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivedMs.size(); ++last) {
        while (arrivedMs[last] - arrivedMs[first] >= SecondMs) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_CASE(allGatewaysTogetherStayWithinTheBound)
{
    const double bound = PerSecond * ColdRateOptions().ratio + ColdRateOptions().slack;
    for (const std::uint32_t count : {1U, 2U, 3U, 23U, 27U, 68U}) {
        for (const std::uint32_t cut : {0U, 1U, count / 3, count / 2, count - 1}) {
            if (cut >= count) {
                continue;
            }
            const auto arrivedMs = Gateways(count, cut).arrivals(100);
            BOOST_TEST_CONTEXT("gateways " << count << ", cut off " << cut)
            {
                BOOST_TEST(static_cast<double>(mostInASecond(arrivedMs)) <= bound);
                // The endpoint is warmed up, not left out.
                BOOST_TEST(arrivedMs.size() >= LengthMs / SecondMs * 6);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(gatewayWithoutAPlaceSendsNothing)
{
    const ColdRate rate;
    BOOST_TEST(!rate.canSend("e-1", PerSecond, StartMs));
}

BOOST_AUTO_TEST_CASE(unusedTurnsAreNotSaved)
{
    ColdRate rate;
    rate.setPlace(0, 1);
    BOOST_TEST(rate.canSend("e-1", PerSecond, StartMs));
    // After a long silence too, one request uses up the turn.
    constexpr std::uint64_t LaterMs = StartMs + 60 * SecondMs;
    rate.recordSent("e-1", PerSecond, LaterMs);
    BOOST_TEST(!rate.canSend("e-1", PerSecond, LaterMs));
    BOOST_TEST(rate.canSend("e-2", PerSecond, LaterMs));
    BOOST_TEST(rate.canSend("e-1", PerSecond, LaterMs + SecondMs));
}

BOOST_AUTO_TEST_CASE(smallRatesLeaveTurnsToo)
{
    const ColdRate rate({.ratio = 1, .slack = 0});
    for (const double perSecond : {0.2, 1.0, 4.0}) {
        BOOST_TEST(rate.turnsPerSecond(perSecond) == perSecond / 2);
    }
}
