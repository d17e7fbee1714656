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

} // namespace Apricothead
