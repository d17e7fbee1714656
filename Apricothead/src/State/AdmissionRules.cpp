#include "AdmissionRules.h"

#include "ConfigurationLookup.h"

namespace Apricothead {
namespace {

Check checkOrganisationAccess(const Wire::Configuration &configuration, const Wire::Admit &admit)
{
    const Wire::Organisation *organisation = findOrganisation(configuration, admit.key().organisation());
    if (organisation == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_ALLOWED, "key.organisation", "names an unknown organisation", "ask the operator");
    }
    if (findModel(configuration, admit.model()) == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "names an unknown model", "name a model that is listed");
    }
    if (!isAllowed(*organisation, admit.model(), admit.version())) {
        return makeError(Wire::ERROR_CODE_NOT_ALLOWED, "version", "is not allowed for the organisation", "ask the operator for an allowance");
    }
    return outcome::success();
}

Check checkSession(const AdmissionContext &context, const Wire::Admit &admit)
{
    if (admit.session().empty()) {
        return outcome::success();
    }
    const Wire::SessionBinding *binding = context.sessions.find(admit.key().organisation(), admit.session(), admit.model());
    if (binding == nullptr) {
        return outcome::success();
    }
    const Wire::Version *bound = findVersion(context.configuration, binding->version());
    if (bound == nullptr || bound->state() == Wire::VERSION_STATE_WITHDRAWN) {
        return makeError(Wire::ERROR_CODE_SESSION_VERSION_WITHDRAWN,
                         "session",
                         "is bound to version " + binding->version() + ", which was withdrawn",
                         "start a new session");
    }
    if (binding->version() != admit.version()) {
        return makeError(Wire::ERROR_CODE_SESSION_BOUND, "session", "is bound to version " + binding->version(), "admit it on that version");
    }
    return outcome::success();
}

Check checkVersionActive(const Wire::Configuration &configuration, const Wire::Admit &admit)
{
    const Wire::Version *version = findVersion(configuration, admit.version());
    if (version == nullptr || version->model() != admit.model()) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "version", "names an unknown version of the model", "name a version that is listed");
    }
    if (version->state() != Wire::VERSION_STATE_ACTIVE) {
        return makeError(Wire::ERROR_CODE_WITHDRAWN, "version", "was withdrawn", "use an active version");
    }
    return outcome::success();
}

Check checkEndpoint(const AdmissionContext &context, const Wire::Admit &admit)
{
    if (admit.endpoint().empty()) {
        return makeError(Wire::ERROR_CODE_INVALID, "endpoint", "is missing", "name an endpoint");
    }
    if (isDrained(context.configuration, admit.endpoint())) {
        return makeError(Wire::ERROR_CODE_DRAINED, "endpoint", "is drained", "choose another endpoint");
    }
    if (context.incarnations.isGone(admit.endpoint(), admit.incarnation())) {
        return makeError(Wire::ERROR_CODE_STALE_INCARNATION, "incarnation", "has ended or is lost", "choose another endpoint or its newer incarnation");
    }
    return outcome::success();
}

bool isSameProposal(const Wire::RequestRecord &record, const Wire::Admit &admit)
{
    return record.state() == Wire::RECORD_STATE_ADMITTED && record.attempt() == admit.attempt() && record.entry() == admit.entry()
        && record.endpoint() == admit.endpoint() && record.incarnation() == admit.incarnation() && record.version() == admit.version();
}

} // namespace

Check checkAdmissible(const AdmissionContext &context, const Wire::Admit &admit)
{
    BOOST_OUTCOME_TRYV(checkOrganisationAccess(context.configuration, admit));
    BOOST_OUTCOME_TRYV(checkSession(context, admit));
    BOOST_OUTCOME_TRYV(checkVersionActive(context.configuration, admit));
    return checkEndpoint(context, admit);
}

AttemptDecision decideAttempt(const Wire::RequestRecord &record, const Wire::Admit &admit)
{
    if (record.fingerprint() != admit.fingerprint()) {
        return AttemptDecision::KeyReused;
    }
    if (isSameProposal(record, admit)) {
        return AttemptDecision::Duplicate;
    }
    if (record.state() == Wire::RECORD_STATE_SETTLED || admit.attempt() != record.attempt() + 1) {
        return AttemptDecision::Known;
    }
    if (record.state() == Wire::RECORD_STATE_ABANDONED || record.repeatable()) {
        return AttemptDecision::Replace;
    }
    return AttemptDecision::ProofMissing;
}

} // namespace Apricothead
