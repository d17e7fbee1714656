#pragma once

#include <string>
#include <vector>

namespace Apricothead {

/** Exit codes of the binary, documented in docs/operations/command-line.md. */
enum ExitCode {
    ExitSuccess = 0,
    /** The command failed; standard error says why. */
    ExitFailure = 1,
    /** Wrong use, or faults in the settings. */
    ExitUsage = 2,
    /** A shutdown that had to cut work short. */
    ExitCut = 3,
};

/** What the flags and the words after the command say. */
struct CommandLine {
    std::string settings;
    std::string address;
    std::string token;
    std::string commandId;
    /** The replica identity that recover is to go on with. */
    std::string confirmation;
    /** Withdraws the order of evacuate. */
    bool end = false;
    /** The words after the command. */
    std::vector<std::string> words;
};

int serve(const CommandLine &line);
int check(const CommandLine &line);
int init(const CommandLine &line);
int recover(const CommandLine &line);
int call(const CommandLine &line);
int evacuate(const CommandLine &line);
int report(const CommandLine &line);
int explain(const CommandLine &line);
int version(const CommandLine &line);

} // namespace Apricothead
