#include "Commands.h"

#include <Apricothead/Coordination>

#include <fstream>
#include <iostream>

namespace Apricothead {
namespace {

void readAll(std::istream &lines, RequestTimeline &story)
{
    for (std::string line; std::getline(lines, line);) {
        story.addLine(line);
    }
}

} // namespace

int explain(const CommandLine &line)
{
    if (line.words.empty()) {
        std::cerr << "apricothead explain ID [FILE...]\n";
        return ExitUsage;
    }
    RequestTimeline story(line.words.front());
    if (line.words.size() == 1) {
        readAll(std::cin, story);
    }
    for (std::size_t index = 1; index < line.words.size(); ++index) {
        std::ifstream file(line.words[index]);
        if (!file) {
            std::cerr << "apricothead: cannot read " << line.words[index] << '\n';
            return ExitUsage;
        }
        readAll(file, story);
    }
    const std::string told = story.toText();
    if (told.empty()) {
        std::cerr << "apricothead: no line names request " << line.words.front() << '\n';
        return ExitFailure;
    }
    std::cout << told;
    return ExitSuccess;
}

} // namespace Apricothead
