#pragma once

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace Apricothead::Test {

/** Redirects standard output to a pipe that nobody reads until drain(). */
class UnreadOutput
{
public:
    UnreadOutput() : savedStdout(dup(STDOUT_FILENO))
    {
        BOOST_REQUIRE_EQUAL(pipe2(this->pipeEnds, O_CLOEXEC), 0);
        dup2(this->pipeEnds[1], STDOUT_FILENO);
    }
    ~UnreadOutput()
    {
        dup2(this->savedStdout, STDOUT_FILENO);
        close(this->savedStdout);
        close(this->pipeEnds[0]);
        close(this->pipeEnds[1]);
    }
    UnreadOutput(const UnreadOutput &) = delete;
    UnreadOutput &operator=(const UnreadOutput &) = delete;

    /** \returns what the pipe holds, without waiting for more */
    std::string drain()
    {
        fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[65536];
        for (ssize_t got = read(this->pipeEnds[0], buffer, sizeof(buffer)); got > 0; got = read(this->pipeEnds[0], buffer, sizeof(buffer))) {
            text.append(buffer, static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    int savedStdout;
    int pipeEnds[2] = {-1, -1};
};

} // namespace Apricothead::Test
