#pragma once

#include "../../State/StateErrors.h"

#include "apricothead/v1/operator.pb.h"

#include <string>

namespace Apricothead {

/** A change, or the error in the request for it. */
using ChangeResult = outcome::unchecked<Wire::ConfigurationChange, Wire::Error>;

/** \returns the change for \a request, built from the \a configuration that it is based on. The state machine validates the complete change. */
ChangeResult changeOf(const Wire::PutOrganisationRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::RemoveOrganisationRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::RemoveKeyRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::PutAllowanceRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::RemoveAllowanceRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::SetLimitsRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::PutModelRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::PutVersionRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::WithdrawVersionRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::PutCascadeRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::RemoveCascadeRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::StartRolloutRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::PauseRolloutRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::ResumeRolloutRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::HaltRolloutRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::FinishRolloutRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::DrainEndpointRequest &request, const Wire::Configuration &configuration);
ChangeResult changeOf(const Wire::UndrainEndpointRequest &request, const Wire::Configuration &configuration);

/** \returns the change that adds a key with \a keyHash to \a organisation */
ChangeResult addKey(const std::string &organisation, const std::string &keyHash, const Wire::Configuration &configuration);

} // namespace Apricothead
