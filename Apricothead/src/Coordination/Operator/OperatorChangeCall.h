#pragma once

#include "OperatorChanges.h"
#include "OperatorMethods.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Apricothead {

/** \class OperatorChangeCall
 * \ingroup Coordination_Module
 * \brief A configuration change requested by an operator.
 */
struct OperatorChangeCall {
    std::string operatorName;
    std::string commandId;
    std::optional<std::uint64_t> expectedRevision;
    /** Hash of the operator's request, which distinguishes a resent command from another one with the same id. */
    std::uint64_t fingerprint = 0;
    /** Builds the change from the configuration that it is based on. */
    std::function<ChangeResult(const Wire::Configuration &)> build;
    /** Called with the new revision or the error. */
    std::function<void(const outcome::unchecked<std::uint64_t, Wire::Error> &)> done;
};

/** Reads the current configuration, builds the change from it and proposes it. */
void submitChange(const std::shared_ptr<OperatorBackend> &backend, OperatorChangeCall call);

/** \returns a hash of a request and its method; never 0 */
std::uint64_t requestFingerprint(std::string_view method, const google::protobuf::Message &request);

} // namespace Apricothead
