#pragma once

#include "ConnectCodec.h"
#include "OperatorAccess.h"
#include "OperatorBackend.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class OperatorRequest
 * \ingroup Coordination_Module
 * \brief One call by an operator who has been identified.
 */
struct OperatorRequest {
    OperatorIdentity identity;
    ConnectEncoding encoding = ConnectEncoding::Json;
    std::string body;
};

/** The written response, or the error. */
using OperatorReply = outcome::unchecked<std::string, ConnectError>;
using OperatorReplyCallback = std::function<void(const OperatorReply &)>;

/** \class OperatorMethod
 * \ingroup Coordination_Module
 * \brief One method of the service Operator.
 */
struct OperatorMethod {
    std::string_view name;
    /** True when a read-only token won't do. */
    bool needsFullRole = true;
    std::function<void(const std::shared_ptr<OperatorBackend> &, const OperatorRequest &, const OperatorReplyCallback &)> run;
};

/** \returns the method of that name, or nullptr */
const OperatorMethod *findOperatorMethod(std::string_view name);

/** Makes the report; \a done gets its text, also when the replicas can't be asked. */
void makeReport(const std::shared_ptr<OperatorBackend> &backend, const std::function<void(const std::string &)> &done);

} // namespace Apricothead
