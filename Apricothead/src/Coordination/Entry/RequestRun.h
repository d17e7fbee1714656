#pragma once

#include "CallerAnswer.h"
#include "EntryContext.h"
#include "StepRun.h"

#include "../../Protocol/ChatAssembler.h"

#include "../../Transport/ByteBudget.h"
#include "../../Transport/Timer.h"

#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

/** \class RequestEnd
 * \ingroup Coordination_Module
 * \brief Result of a request over all its steps.
 */
struct RequestOutcome {
    double tokens = 0;
    /** False if it certainly did not run. */
    bool mayHaveRun = false;
};

/** \class RequestRun
 * \ingroup Coordination_Module
 * \brief One caller's request until its answer has been sent: one step, or for a cascade one step for each model tried.
 */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    /** \a onEnded is called once, when the answer has been written or the caller has disconnected. */
    RequestRun(EntryContext &context, CallerRequest request, std::unique_ptr<CallerAnswer> answer, std::function<void(const RequestOutcome &)> onEnded);
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** Registers the callbacks of the caller's connection and starts the keep-alive timer. The request does not run before start(). */
    void attachCaller();
    void start();
    /** Ends the request with \a error; its run may continue. */
    void abort(const CallerError &error);

    const std::string &id() const;
    const CallerRequest &callerRequest() const;

private:
    /** A step's answer, buffered until it is known whether another model has to run. */
    struct BufferedAnswer {
        AnswerHead head;
        std::vector<std::string> chunks;
        std::size_t bytes = 0;
        bool isComplete = false;
    };

    void planSteps();
    CascadeDecision decideCascade();
    void startStep();
    bool isLastStep() const;
    bool isErrorAnswer() const;
    void handleHead(unsigned status, const std::string &contentType, const std::string &version);
    void handleChunk(std::string_view data);
    void handleStepOutcome(const StepOutcome &stepOutcome);
    void finishLastStep(const StepOutcome &stepOutcome);
    void finishBufferedStep(const StepOutcome &stepOutcome);
    void applyRating(std::optional<double> rating);
    void writeBuffered();
    void deliverUnrated();
    void deliverBuffered();
    /** Charges what the entry holds of the answer. \returns whether it may hold that much */
    bool holdAnswer(std::size_t bytes);
    void startNextStep();
    CallerError engineError(const StepOutcome &stepOutcome) const;
    /** \returns true if answers to this request can be rated */
    bool canRate() const;
    /** \returns true if a complete answer of the current step will be rated */
    bool willRate() const;
    void collectForRating(std::string_view data);
    /** Rates an answer that has been sent to the caller, as evidence on its version. */
    void rateInBackground();
    std::string ratingRequestBody(const std::string &text) const;
    void finishAnswer(const std::string &version);
    void failAnswer(const CallerError &error);
    void handleCallerDisconnect();
    void endRequest(std::string_view how, Verdict verdict, unsigned status);

    EntryContext &context;
    std::shared_ptr<const CallerRequest> request;
    std::unique_ptr<CallerAnswer> answer;
    std::function<void(const RequestOutcome &)> onEnded;
    double tokens = 0;
    /** In millionths of the price unit, at the prices in this entry's configuration. */
    double totalCostMicros = 0;
    Timer keepAlive;
    std::vector<PrefixBlock> prefixes;
    std::vector<std::string> models;
    std::chrono::milliseconds ratingTimeout{0};
    /** Has no tiers unless the request uses a cascade. */
    CascadeProgress cascade;
    std::size_t stepIndex = 0;
    std::shared_ptr<StepRun> currentStep;
    AnswerHead head;
    std::string errorBody;
    BufferedAnswer buffered;
    BufferedAnswer fallback;
    ByteCharge heldAnswer;
    bool ratesStreamedAnswer = false;
    std::optional<ChatAssembler> streamedAnswer;
    std::size_t streamedBytes = 0;
    std::uint64_t startedMs = 0;
    std::uint64_t firstByteMs = 0;
    Verdict earlierVerdict = Verdict::NotRun;
    bool isEnded = false;
};

} // namespace Apricothead
