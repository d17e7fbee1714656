#pragma once

#include "CallerAnswer.h"
#include "EntryContext.h"
#include "StepRun.h"

#include "../../Protocol/ChatAssembler.h"

#include "../../Transport/Timer.h"

#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

/** \class RequestEnd
 * \ingroup Coordination_Module
 * \brief What a request used, all its steps together.
 */
struct RequestOutcome {
    double tokens = 0;
    /** False when it certainly did not run. */
    bool mayHaveRun = false;
};

/** \class RequestRun
 * \ingroup Coordination_Module
 * \brief One caller's request from its admission to its answer: one step, or for a cascade one step for each model tried.
 */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    /** \a ended is called once, when the caller has its answer or has left. */
    RequestRun(EntryContext &context, CallerRequest request, std::unique_ptr<CallerAnswer> answer, std::function<void(const RequestOutcome &)> onEnded);
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** Takes the caller's side into care; the request waits for its turn. */
    void attachCaller();
    void start();
    /** Ends the request with \a error although it may still run. */
    void abort(const CallerError &error);

    const std::string &id() const;
    const CallerRequest &callerRequest() const;

private:
    /** A step's answer, held back until it is known whether the next model has to be asked. */
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
    void deliverBuffered();
    void startNextStep();
    CallerError engineError(const StepOutcome &stepOutcome) const;
    /** \returns true when answers can be rated at all */
    bool canRate() const;
    /** \returns true when the whole answer of the current step will be rated */
    bool willRate() const;
    void collectForRating(std::string_view data);
    /** Rates an answer that the caller has already, as evidence on its version. */
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
    /** In millionths, by the prices that this entry knows. */
    double totalCostMicros = 0;
    Timer keepAlive;
    std::vector<PrefixBlock> prefixes;
    std::vector<std::string> models;
    std::chrono::milliseconds ratingTimeout{0};
    /** Empty tiers unless the request walks a cascade. */
    CascadeProgress cascade;
    std::size_t stepIndex = 0;
    std::shared_ptr<StepRun> currentStep;
    AnswerHead head;
    std::string errorBody;
    BufferedAnswer buffered;
    BufferedAnswer fallback;
    bool ratesStreamedAnswer = false;
    std::optional<ChatAssembler> streamedAnswer;
    std::size_t streamedBytes = 0;
    std::uint64_t startedMs = 0;
    std::uint64_t firstByteMs = 0;
    Verdict earlierVerdict = Verdict::NotRun;
    bool isEnded = false;
};

} // namespace Apricothead
