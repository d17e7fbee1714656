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
struct RequestEnd {
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
    RequestRun(EntryContext &context, CallerRequest request, std::unique_ptr<CallerAnswer> answer, std::function<void(const RequestEnd &)> ended);
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** Takes the caller's side into care; the request waits for its turn. */
    void wait();
    void start();
    /** Ends the request with \a error although it may still run. */
    void cut(const CallerError &error);

    const std::string &id() const;
    const CallerRequest &asked() const;

private:
    /** A step's answer, held back until it is known whether the next model has to be asked. */
    struct HeldAnswer {
        AnswerHead head;
        std::vector<std::string> chunks;
        std::size_t bytes = 0;
        bool isWhole = false;
    };

    void planSteps();
    CascadeDecision decideCascade();
    void startStep();
    bool isLastStep() const;
    bool isErrorAnswer() const;
    void takeHead(unsigned status, const std::string &contentType, const std::string &version);
    void takeChunk(std::string_view data);
    void takeEnd(const StepEnd &stepEnd);
    void endDirect(const StepEnd &stepEnd);
    void endHeld(const StepEnd &stepEnd);
    void decideOn(std::optional<double> rating);
    void deliverHeld();
    void nextStep();
    CallerError engineError(const StepEnd &stepEnd) const;
    /** \returns true when answers can be rated at all */
    bool mayRate() const;
    /** \returns true when the whole answer of the current step will be rated */
    bool willRate() const;
    void keepForRating(std::string_view data);
    /** Rates an answer that the caller has already, as evidence on its version. */
    void rateInBackground();
    std::string ratingRequest(const std::string &text) const;
    void finishAnswer(const std::string &version);
    void failAnswer(const CallerError &error);
    void leave();
    void ended(std::string_view how, Verdict verdict, unsigned status);

    EntryContext &context;
    std::shared_ptr<const CallerRequest> request;
    std::unique_ptr<CallerAnswer> answer;
    std::function<void(const RequestEnd &)> endedHook;
    double tokens = 0;
    /** In millionths, by the prices that this entry knows. */
    double cost = 0;
    Timer keepAlive;
    std::vector<PrefixBlock> prefixes;
    std::vector<std::string> models;
    std::chrono::milliseconds ratingTimeout{0};
    /** Empty tiers unless the request walks a cascade. */
    CascadeProgress cascade;
    std::size_t step = 0;
    std::shared_ptr<StepRun> current;
    AnswerHead head;
    std::string errorBody;
    HeldAnswer held;
    HeldAnswer best;
    bool ratesDirect = false;
    std::optional<ChatAssembler> answered;
    std::size_t answeredBytes = 0;
    std::uint64_t startedMs = 0;
    std::uint64_t firstByteMs = 0;
    Verdict former = Verdict::NotRun;
    bool isEnded = false;
};

} // namespace Apricothead
