#include "ProposalSendings.h"

#include <algorithm>

namespace Apricothead {

std::uint32_t ProposalSendings::nextNumber() const
{
    return this->lastNumber + 1;
}

void ProposalSendings::recordSent(const std::string &replica)
{
    this->unresolved[++this->lastNumber] = replica;
    ++this->countByReplica[replica];
}

void ProposalSendings::recordNotAppended(const std::string &replica, std::uint32_t number)
{
    const auto isOf = [&replica](const auto &sending) {
        return sending.second == replica;
    };
    if (number > 0) {
        const auto found = this->unresolved.find(number);
        if (found != this->unresolved.end() && isOf(*found)) {
            this->unresolved.erase(found);
        }
        return;
    }
    const auto sent = this->countByReplica.find(replica);
    if (sent != this->countByReplica.end() && sent->second == 1) {
        std::erase_if(this->unresolved, isOf);
    }
}

bool ProposalSendings::isUnresolved() const
{
    return !this->unresolved.empty();
}

} // namespace Apricothead
