#include "caller_identity.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/sha.h>
#include <strings.h>

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

bool
HasWorkspaces(const RoutingTable& aTable)
{
  return !aTable.Document().mWorkspaces.empty();
}

CallerIdentity
IdentifyCaller(const RoutingTable& aTable,
               const Route& aRoute,
               const std::optional<KeyDigest>& aKey,
               bool aLeaseValid)
{
  if (!HasWorkspaces(aTable)) {
    return {};
  }
  if (!aRoute.mPublic && !aLeaseValid) {
    return { CallerVerdict::NoLease };
  }
  const Workspace* const workspace = aKey ? aTable.FindWorkspace(*aKey) : nullptr;
  if (!aRoute.mPublic && workspace == nullptr) {
    return { CallerVerdict::UnknownKey };
  }
  return { CallerVerdict::Allowed, workspace };
}

bool
IsKeyRevoked(const RoutingTable& aTable, const Route* aRoute, const std::optional<KeyDigest>& aKey)
{
  return HasWorkspaces(aTable) && (aRoute == nullptr || !aRoute->mPublic) &&
         (!aKey || aTable.FindWorkspace(*aKey) == nullptr);
}

void
ReplaceIdentityHeaders(std::vector<HttpHeader>& aHeaders,
                       const HeaderNames& aNames,
                       std::string_view aWorkspace)
{
  std::erase_if(aHeaders, [&aNames](const HttpHeader& aHeader) {
    return strcasecmp(aHeader.mName.c_str(), aNames.mKey.c_str()) == 0 ||
           strcasecmp(aHeader.mName.c_str(), aNames.mWorkspace.c_str()) == 0;
  });
  if (!aWorkspace.empty()) {
    aHeaders.push_back({ aNames.mWorkspace, std::string(aWorkspace) });
  }
}

std::uint32_t
PriorityOf(const Workspace* aWorkspace, const Route& aRoute)
{
  return aWorkspace != nullptr ? aWorkspace->mPriority.value_or(aRoute.mPriority)
                               : aRoute.mPriority;
}

} // namespace apricotyard
