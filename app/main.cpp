#include "Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <array>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "settings file of the process, JSON");
ABSL_FLAG(std::string, address, "127.0.0.1:8081", "operators' address of an entry instance, IP and port");
ABSL_FLAG(std::string, token, "", "operator token; APRICOTHEAD_TOKEN in the environment is used when the flag is absent");
ABSL_FLAG(std::string, command_id, "", "command id of a change; the same id given again returns the first answer");
ABSL_FLAG(bool, end, false, "for evacuate: withdraw the order");
ABSL_FLAG(std::string, confirm_replica, "", "for recover: the identity of the replica that goes on alone");

namespace Apricothead {
namespace {

struct Command {
    std::string_view name;
    std::string_view summary;
    std::string_view help;
    int (*run)(const CommandLine &);
};

constexpr std::array Commands{
    Command{"serve",
            "run the roles named in the settings",
            "apricothead serve --settings=FILE\n\n"
            "Runs until SIGTERM or SIGINT, then stops gracefully: takes no new work, finishes or hands over what runs, exits 0.\n"
            "A second signal or the deadline timing.shutdownMs ends it at once with exit code 3; the log says what was cut.\n",
            serve},
    Command{"check", "check a settings file", "apricothead check FILE\n\nLists every fault with its JSON path. Exit code 0: no fault; 2: faults.\n", check},
    Command{"init",
            "create a group of replicas, once",
            "apricothead init --settings=FILE\n\n"
            "Creates a group with the replica of these settings as its only member, before the process is first served.\n"
            "Run it on one replica only; the others, served with empty data folders, are added by `apricothead call`.\n",
            init},
    Command{"recover",
            "last resort after a majority of the replicas was lost for good",
            "apricothead recover --settings=FILE --confirm_replica=IDENTITY\n\n"
            "Makes the replica of these settings the only member of its group. Commands that only the lost replicas held are gone.\n"
            "Without --confirm_replica it changes nothing and names the identity to confirm.\n",
            recover},
    Command{"call",
            "call a method of the operator service",
            "apricothead call METHOD ['{JSON}'] [--address=IP:PORT] [--token=TOKEN] [--command_id=ID]\n\n"
            "Methods are those of proto/apricothead/v1/operator.proto. Prints the JSON answer. Resends safely under one command id.\n",
            call},
    Command{"evacuate",
            "send nothing more to the endpoints of a zone",
            "apricothead evacuate [ZONE] [--end] [--address=IP:PORT] [--token=TOKEN]\n\n"
            "Orders the evacuation of an availability zone, or withdraws it (--end), and then, as without ZONE, lists the zones evacuated.\n"
            "Requests that run there are finished.\n",
            evacuate},
    Command{"report", "print the report", "apricothead report [--address=IP:PORT] [--token=TOKEN]\n\nUnder 25 lines of 60 columns, plain text.\n", report},
    Command{"explain",
            "tell the way of one request from logs",
            "apricothead explain ID [FILE...]\n\n"
            "Reads log lines of any number of processes from files, or from standard input, and prints in order what became of the request\n"
            "and what each process that had it believed. Exit code 1: no line names it.\n",
            explain},
    Command{"version", "print the version", "apricothead version\n", version},
};

void printOverview(std::ostream &out)
{
    out << "apricothead: a model-aware router for versions and cascades\n\nUse: apricothead COMMAND [FLAGS]\n\n";
    for (const Command &command : Commands) {
        out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << '\n';
    }
    out << "\napricothead COMMAND --help tells more. Exit codes: 0 done, 1 failed, 2 wrong use or settings, 3 shutdown cut work short.\n";
}

const Command *findCommand(std::string_view name)
{
    for (const Command &command : Commands) {
        if (command.name == name) {
            return &command;
        }
    }
    return nullptr;
}

bool wantsHelp(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        const std::string_view word = argv[index];
        if (word == "--help" || word == "-h" || word == "-help") {
            return true;
        }
    }
    return false;
}

CommandLine readLine(const std::vector<char *> &positional)
{
    CommandLine line{
        .settings = absl::GetFlag(FLAGS_settings),
        .address = absl::GetFlag(FLAGS_address),
        .token = absl::GetFlag(FLAGS_token),
        .commandId = absl::GetFlag(FLAGS_command_id),
        .confirmation = absl::GetFlag(FLAGS_confirm_replica),
        .end = absl::GetFlag(FLAGS_end),
    };
    for (std::size_t index = 2; index < positional.size(); ++index) {
        line.words.emplace_back(positional[index]);
    }
    if (const char *token = std::getenv("APRICOTHEAD_TOKEN"); line.token.empty() && token != nullptr) {
        line.token = token;
    }
    return line;
}

int runMain(int argc, char **argv)
{
    const Command *command = argc > 1 ? findCommand(argv[1]) : nullptr;
    if (wantsHelp(argc, argv)) {
        if (command == nullptr) {
            printOverview(std::cout);
            return ExitSuccess;
        }
        std::cout << command->help;
        return ExitSuccess;
    }
    absl::SetProgramUsageMessage("apricothead COMMAND [FLAGS]");
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    command = positional.size() > 1 ? findCommand(positional[1]) : nullptr;
    if (command == nullptr) {
        printOverview(std::cerr);
        return ExitUsage;
    }
    return command->run(readLine(positional));
}

} // namespace
} // namespace Apricothead

int main(int argc, char **argv)
{
    return Apricothead::runMain(argc, argv);
}
