#pragma once

#include <string_view>

namespace Apricothead {

/** \enum Verdict
 * \ingroup Protocol_Module
 * \brief Says whether a request may have run at an endpoint.
 */
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/** \returns the verdict as callers see it: \c not-run, \c may-have-run or \c ran */
std::string_view verdictName(Verdict verdict);

/** \returns the verdict of two attempts of one request taken together: the one that promises less */
Verdict combined(Verdict former, Verdict latter);

} // namespace Apricothead
