#include "Verdict.h"

#include <algorithm>

namespace Apricothead {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

Verdict combined(Verdict former, Verdict latter)
{
    return std::max(former, latter);
}

} // namespace Apricothead
