#pragma once

// Included first by every test file; the file defines BOOST_TEST_MODULE before it.
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace Apricothead::Test {

/** \returns the value of an environment variable set by ctest, empty when it is not set */
inline std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace Apricothead::Test
