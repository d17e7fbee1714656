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
 * \brief One call by an authenticated operator.
 */
struct OperatorRequest {
    OperatorIdentity identity;
    ConnectEncoding encoding = ConnectEncoding::Json;
    std::string body;
};

/** The encoded response, or the error. */
using OperatorReply = outcome::unchecked<std::string, ConnectError>;
using OperatorReplyCallback = std::function<void(const OperatorReply &)>;

/** \class OperatorMethod
 * \ingroup Coordination_Module
 * \brief One method of the Operator service.
 */
struct OperatorMethod {
    std::string_view name;
    /** True when a read-only token is not sufficient. */
    bool needsFullRole = true;
    std::function<void(const std::shared_ptr<OperatorBackend> &, const OperatorRequest &, const OperatorReplyCallback &)> run;
};

/** \returns the method with the given \a name, or nullptr */
const OperatorMethod *findOperatorMethod(std::string_view name);

/** Creates the report and calls \a done with its text, even when the replicas are unreachable. */
void makeReport(const std::shared_ptr<OperatorBackend> &backend, const std::function<void(const std::string &)> &done);

} // namespace Apricothead
