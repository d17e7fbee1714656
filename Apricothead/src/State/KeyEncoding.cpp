#include "KeyEncoding.h"

#include <xxhash.h>

#include <cstdint>

namespace Apricothead {
namespace {

constexpr int LengthBytes = 4;
constexpr int BitsPerByte = 8;

void appendBigEndian(std::string &bytes, std::uint32_t number)
{
    for (int i = LengthBytes - 1; i >= 0; --i) {
        bytes.push_back(static_cast<char>(number >> (i * BitsPerByte)));
    }
}

} // namespace

std::string encodeParts(std::initializer_list<std::string_view> parts)
{
    std::string bytes;
    for (const std::string_view part : parts) {
        appendBigEndian(bytes, static_cast<std::uint32_t>(part.size()));
        bytes.append(part);
    }
    return bytes;
}

std::string encodeKey(const Wire::RequestKey &key)
{
    std::string bytes = encodeParts({key.organisation(), key.key()});
    appendBigEndian(bytes, key.step());
    return bytes;
}

std::string hash128(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return {reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest};
}

} // namespace Apricothead
