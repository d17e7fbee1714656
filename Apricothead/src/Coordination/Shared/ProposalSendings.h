#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Apricothead {

/** \class ProposalSendings
 * \ingroup Coordination_Module
 * \brief The sendings of one proposal, and for which of them a reply has said that the command was not appended.
 */
class ProposalSendings
{
public:
    /** \returns the number for the next sending, from 1 */
    std::uint32_t nextNumber() const;
    /** The sending with nextNumber() has left for \a replica. */
    void recordSent(const std::string &replica);
    /** \a replica has replied that it did not append the sending \a number. A copy of that reply, or one from a replica that did not receive the
     * sending, changes nothing. With 0, as from a replica of an earlier version, it counts only if \a replica received one sending. */
    void recordNotAppended(const std::string &replica, std::uint32_t number);
    /** \returns true if the command may have been appended */
    bool isUnresolved() const;

private:
    std::uint32_t lastNumber = 0;
    /** The replica of each sending without such a reply. */
    std::map<std::uint32_t, std::string> unresolved;
    std::map<std::string, unsigned> countByReplica;
};

} // namespace Apricothead
