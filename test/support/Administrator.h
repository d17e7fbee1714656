#pragma once

#include <Apricothead/Coordination>

#include <memory>
#include <string>
#include <vector>

namespace Apricothead::Test {

/** \class Administrator
 * \brief Changes the configuration and reads the ledger of a running group, by blocking calls.
 */
class Administrator
{
public:
    explicit Administrator(std::vector<std::string> seeds);
    ~Administrator();

    /** Adds a replica with an empty folder. \returns false when it is not a full member in time */
    bool addReplica(const std::string &address);
    /** \returns an error text, empty when the change was accepted */
    std::string change(const Wire::ConfigurationChange &change);
    Wire::ClusterStatus status();
    /** \returns the sum over all versions and days for \a organisation */
    Wire::LedgerDay bills(const std::string &organisation);
    Wire::RequestRecord record(const std::string &organisation, const std::string &key);

private:
    Wire::QueryReply query(const Wire::Query &query);
    ReplicaClientOptions options() const;

    std::vector<std::string> seeds;
};

} // namespace Apricothead::Test
