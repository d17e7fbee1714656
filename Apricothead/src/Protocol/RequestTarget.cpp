#include "RequestTarget.h"

#include <algorithm>

namespace Apricothead {

bool isOriginForm(std::string_view target)
{
    constexpr unsigned char Delete = 0x7f;
    return target.starts_with('/') && std::none_of(target.begin(), target.end(), [](unsigned char c) {
               // A fragment would be left out on the way.
               return c <= ' ' || c == Delete || c == '#';
           });
}

} // namespace Apricothead
