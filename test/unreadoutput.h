#pragma once

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace Apricothead::Test {

/** Standard output as a pipe that nobody reads until taken(). */
class UnreadOutput
{
public:
    UnreadOutput() : saved(dup(STDOUT_FILENO))
    {
        BOOST_REQUIRE_EQUAL(pipe2(this->ends, O_CLOEXEC), 0);
        dup2(this->ends[1], STDOUT_FILENO);
    }
    ~UnreadOutput()
    {
        dup2(this->saved, STDOUT_FILENO);
        close(this->saved);
        close(this->ends[0]);
        close(this->ends[1]);
    }
    UnreadOutput(const UnreadOutput &) = delete;
    UnreadOutput &operator=(const UnreadOutput &) = delete;

    std::string taken()
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[65536];
        for (ssize_t got = read(this->ends[0], buffer, sizeof(buffer)); got > 0; got = read(this->ends[0], buffer, sizeof(buffer))) {
            text.append(buffer, static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    int saved;
    int ends[2] = {-1, -1};
};

} // namespace Apricothead::Test
