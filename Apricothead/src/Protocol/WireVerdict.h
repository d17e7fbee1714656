#pragma once

#include "Messages.h"
#include "Verdict.h"

namespace Apricothead {

/** \returns the verdict of a message; an unset one promises nothing */
inline Verdict verdictOf(Wire::Verdict verdict)
{
    switch (verdict) {
    case Wire::VERDICT_NOT_RUN:
        return Verdict::NotRun;
    case Wire::VERDICT_RAN:
        return Verdict::Ran;
    default:
        return Verdict::MayHaveRun;
    }
}

/** \returns the verdict as messages carry it */
inline Wire::Verdict wireVerdict(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return Wire::VERDICT_NOT_RUN;
    case Verdict::MayHaveRun:
        return Wire::VERDICT_MAY_HAVE_RUN;
    case Verdict::Ran:
        return Wire::VERDICT_RAN;
    }
    return Wire::VERDICT_MAY_HAVE_RUN;
}

} // namespace Apricothead
