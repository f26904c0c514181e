#include "digest.h"

#include <array>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace apricotyard {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace apricotyard
