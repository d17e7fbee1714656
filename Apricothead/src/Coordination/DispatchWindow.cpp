#include "DispatchWindow.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

unsigned dispatchWindow(const RoutingTable &table, const std::string &model, const std::string &version, double part, DispatchWindowOptions options)
{
    const unsigned capacity = table.usableCapacity(model, version);
    if (capacity == 0) {
        return 0;
    }
    return static_cast<unsigned>(std::max(1.0, std::ceil(capacity * part * options.fill)));
}

} // namespace Apricothead
