#pragma once

#include "main.h"

#include <rapidcheck.h>

#include <array>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

namespace Apricothead::Test {

/** Random bytes that a property decodes into one of its steps. */
using Step = std::array<std::uint8_t, 8>;
using Steps = std::vector<Step>;

/** Checks \a property on \a cases generated lists of up to about \a length steps. \a seed makes the run reproducible and is printed with a failure. */
template <typename Property>
void checkSteps(const std::string &name, std::uint64_t seed, int cases, int length, Property property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto steps = rc::gen::resize(length, rc::gen::container<Steps>(rc::gen::container<Step>(rc::gen::inRange<int>(0, 256))));
    const auto body = [&] {
        property(*steps);
    };
    const auto result = rc::detail::checkProperty(rc::detail::toProperty(body), {.id = name, .description = name}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST_MESSAGE(name << " seed " << seed << ": " << text.str());
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), name << " seed " << seed << "\n" << text.str());
}

} // namespace Apricothead::Test
