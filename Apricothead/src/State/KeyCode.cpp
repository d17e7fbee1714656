#include "KeyCode.h"

#include <xxhash.h>

#include <cstdint>

namespace Apricothead {
namespace {

constexpr int BytesOfLength = 4;
constexpr int BitsOfByte = 8;

void appendNumber(std::string &bytes, std::uint32_t number)
{
    for (int i = BytesOfLength - 1; i >= 0; --i) {
        bytes.push_back(static_cast<char>(number >> (i * BitsOfByte)));
    }
}

} // namespace

std::string joinedParts(std::initializer_list<std::string_view> parts)
{
    std::string bytes;
    for (const std::string_view part : parts) {
        appendNumber(bytes, static_cast<std::uint32_t>(part.size()));
        bytes.append(part);
    }
    return bytes;
}

std::string keyCode(const Wire::RequestKey &key)
{
    std::string bytes = joinedParts({key.organisation(), key.key()});
    appendNumber(bytes, key.step());
    return bytes;
}

std::string hash128(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return {reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest};
}

} // namespace Apricothead
