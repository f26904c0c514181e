#include "caller_identity.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/sha.h>

namespace apricotyard {

KeyDigest
DigestKey(std::string_view aKey)
{
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
  return digest;
}

std::string
KeyFingerprint(const KeyDigest& aKey)
{
  constexpr std::size_t kShownBytes = 4;
  return fmt::format("{:02x}", fmt::join(aKey.begin(), aKey.begin() + kShownBytes, ""));
}

} // namespace apricotyard
