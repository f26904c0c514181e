#include "caller_access.h"

#include "digest.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

Expected<const CallerPolicy*>
IdentifyCaller(const Config& aConfig, std::string_view aKey)
{
  const std::string hash = aKey.empty() ? std::string() : Sha256Hex(aKey);
  for (const auto& [name, caller] : aConfig.mCallers) {
    if (EqualInConstantTime(caller.mKeySha256, hash)) {
      return &caller;
    }
  }
  return Fail(Result::Unauthorized,
              aKey.empty() ? "a key is required: Authorization: Bearer KEY"
                           : "the key belongs to no caller of the configuration");
}

Expected<void>
CheckAccess(const Config& aConfig,
            const CallerPolicy& aCaller,
            std::string_view aCollection,
            std::string_view aClass)
{
  const auto collection = aConfig.mCollections.find(aCollection);
  if (collection == aConfig.mCollections.end()) {
    return {};
  }
  const std::string_view className = aClass.empty() ? collection->second.mDefaultClass : aClass;
  if (!Contains(aCaller.mCollections, aCollection)) {
    return Fail(
      Result::Forbidden,
      fmt::format("caller '{}' may not query collection '{}'", aCaller.mName, aCollection));
  }
  if (aConfig.mClasses.contains(className) && !Contains(aCaller.mClasses, className)) {
    return Fail(Result::Forbidden,
                fmt::format("caller '{}' may not use class '{}'", aCaller.mName, className));
  }
  return {};
}

std::string_view
BearerKey(std::string_view aHeader)
{
  constexpr std::string_view kPrefix = "Bearer ";
  return aHeader.starts_with(kPrefix) ? aHeader.substr(kPrefix.size()) : std::string_view();
}

} // namespace apricotyard
