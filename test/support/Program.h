#pragma once

#include <Apricothead/Transport>

#include <ev++.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>

namespace Apricothead::Test {

/** \class Program
 * \brief The loop of a stand-in program: ends at SIGTERM or SIGINT.
 */
class Program
{
public:
    Program() : terminate(this->loop.native()), interrupt(this->loop.native())
    {
        this->terminate.set<Program, &Program::end>(this);
        this->terminate.start(SIGTERM);
        this->interrupt.set<Program, &Program::end>(this);
        this->interrupt.start(SIGINT);
    }

    EventLoop &eventLoop()
    {
        return this->loop;
    }

    /** Prints where the program listens, then runs it until it is told to end. */
    int run(const std::string &address)
    {
        std::cout << address << std::endl;
        this->loop.run();
        return 0;
    }

private:
    void end(ev::sig &, int)
    {
        this->loop.stop();
    }

    EventLoop loop;
    ev::sig terminate;
    ev::sig interrupt;
};

inline void sendJson(HttpReply &reply, unsigned status, const nlohmann::json &body)
{
    reply.send(status, {{"content-type", "application/json"}}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace Apricothead::Test
