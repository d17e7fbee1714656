#include "DispatchWindow.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

DispatchWindow dispatchWindow(const RoutingTable &table, const std::string &model, const std::string &version, double share, DispatchWindowOptions options)
{
    const unsigned capacity = table.usableCapacity(model, version);
    if (capacity == 0) {
        return {};
    }
    const double endpoints = static_cast<double>(table.usableCount(model, version));
    const auto atLeastOne = [](double value) {
        return static_cast<unsigned>(std::max(1.0, std::ceil(value)));
    };
    return {.running = atLeastOne(capacity * share * options.fillFactor), .awaiting = atLeastOne(endpoints * share * options.awaitingPerEndpoint)};
}

} // namespace Apricothead
