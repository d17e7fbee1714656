#include "KeyHash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>
#include <vector>

namespace Apricothead {
namespace {

std::string hex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t index = 0; index < count; ++index) {
        text += Digits[bytes[index] >> 4U];
        text += Digits[bytes[index] & 0xFU];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL has no SHA-256");
    }
    return hex(digest.data(), size);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view bearerToken(std::string_view authorization)
{
    constexpr std::string_view Scheme = "bearer ";
    if (authorization.size() <= Scheme.size()) {
        return {};
    }
    const bool isBearer = std::equal(Scheme.begin(), Scheme.end(), authorization.begin(), [](char expected, unsigned char given) {
        return expected == static_cast<char>(std::tolower(given));
    });
    return isBearer ? authorization.substr(Scheme.size()) : std::string_view();
}

std::string randomHex(unsigned bytes)
{
    std::vector<unsigned char> drawn(bytes);
    if (RAND_bytes(drawn.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("OpenSSL has no random numbers");
    }
    return hex(drawn.data(), drawn.size());
}

} // namespace Apricothead
