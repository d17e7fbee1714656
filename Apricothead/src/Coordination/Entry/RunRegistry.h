#pragma once

#include "../../Protocol/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace Apricothead {

class StepRun;

/** \class RunRegistry
 * \ingroup Coordination_Module
 * \brief Keeps an entry's step runs until they are finished, and hands them what endpoint processes send.
 *
 * Answers are matched by key and attempt, never by their order of arrival.
 */
class RunRegistry
{
public:
    void add(const std::shared_ptr<StepRun> &run, const Wire::RequestKey &key);

    void receive(const Wire::Envelope &message);
    void handleLinkConnected(const std::string &endpoint);
    /** Lets runs look at their clocks, and drops finished ones. */
    void tick();

    std::size_t size() const;

private:
    using Key = std::tuple<std::string, std::string, unsigned>;

    /** \returns a copy, since runs come and go while they are told something */
    std::vector<std::shared_ptr<StepRun>> copyRuns() const;

    std::multimap<Key, std::shared_ptr<StepRun>> runs;
};

} // namespace Apricothead
