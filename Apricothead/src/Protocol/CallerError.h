#pragma once

#include "Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class CallerError
 * \ingroup Protocol_Module
 * \brief Why a caller gets no whole answer, and what the caller may conclude from it.
 */
struct CallerError {
    /** HTTP status. */
    unsigned status = 500;
    /** Kebab-case code, as \c model-not-found. */
    std::string code;
    /** Path of the field or name of the header at fault; empty when none is. */
    std::string field;
    std::string message;
    Verdict verdict = Verdict::NotRun;
    /** 0 when trying again later does not help. */
    unsigned retryAfterSeconds = 0;

    bool operator==(const CallerError &) const = default;
};

/** \returns the error as the JSON object that callers get */
std::string callerErrorJson(const CallerError &error, std::string_view requestId);

} // namespace Apricothead
