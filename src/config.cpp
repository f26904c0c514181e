#include "config.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256HexDigits = 64;
constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);

bool
IsValidName(std::string_view aName)
{
  const auto allowed = [](char aC) {
    return (aC >= 'a' && aC <= 'z') || (aC >= '0' && aC <= '9') || aC == '-' || aC == '_';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), allowed);
}

bool
IsSha256(std::string_view aText)
{
  return aText.size() == kSha256HexDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::vector<std::string>
ReadSectionNames(SettingsReader& aReader, std::string_view aKind)
{
  std::vector<std::string> names = aReader.Tables(aKind);
  for (const std::string& name : names) {
    if (!IsValidName(name)) {
      aReader.Problem(fmt::format("{}.{}", aKind, name),
                      "a name has 1 to 64 characters out of a-z, 0-9, '-' and '_'");
    }
  }
  return names;
}

std::uint32_t
ReadCount(SettingsReader& aReader,
          const std::string& aKey,
          std::int64_t aMin,
          std::int64_t aMax,
          std::uint32_t aDefault)
{
  std::int64_t value = aDefault;
  aReader.Integer(aKey, Presence::Optional, aMin, aMax, value);
  return static_cast<std::uint32_t>(value);
}

void
ReadKeyHash(SettingsReader& aReader, const std::string& aKey, Presence aPresence, std::string& aOut)
{
  aReader.Text(aKey, aPresence, 0, kSha256HexDigits, aOut);
  if (!aOut.empty() && !IsSha256(aOut)) {
    aReader.Problem(aKey, "expected the SHA-256 of the key as 64 hexadecimal digits");
  }
}

ClassPolicy
ReadClass(SettingsReader& aReader, const std::string& aName)
{
  ClassPolicy policy;
  policy.mName = aName;
  const std::string prefix = "class." + aName + ".";
  policy.mUrgency = ReadCount(aReader, prefix + "urgency", 0, 9, policy.mUrgency);
  policy.mWeight = ReadCount(aReader, prefix + "weight", 1, 1000, policy.mWeight);
  policy.mQueueLimit = ReadCount(aReader, prefix + "queue_limit", 1, 1'000'000, policy.mQueueLimit);
  aReader.Time(
    prefix + "deadline", Presence::Required, kMinDeadline, kMaxDeadline, policy.mDeadline);
  aReader.Number(prefix + "min_coverage", Presence::Optional, 0.0, 1.0, policy.mMinCoverage);
  std::string coverage = "whole";
  aReader.Choice(prefix + "coverage", Presence::Optional, { "whole", "soon" }, coverage);
  policy.mCoverage = coverage == "whole" ? CoveragePolicy::Whole : CoveragePolicy::Soon;
  policy.mAnswerAfter = policy.mDeadline;
  aReader.Time(
    prefix + "answer_after", Presence::Optional, kMinDeadline, kMaxDeadline, policy.mAnswerAfter);
  if (policy.mAnswerAfter > policy.mDeadline) {
    aReader.Problem(prefix + "answer_after", "must not exceed the deadline of the class");
  }
  std::string whenFull = "refuse";
  aReader.Choice(
    prefix + "when_full", Presence::Optional, { "refuse", "displace", "wait" }, whenFull);
  policy.mWhenFull = whenFull == "refuse"     ? WhenFull::Refuse
                     : whenFull == "displace" ? WhenFull::Displace
                                              : WhenFull::Wait;
  aReader.Boolean(prefix + "repeatable", Presence::Optional, policy.mRepeatable);
  return policy;
}

CollectionPolicy
ReadCollection(SettingsReader& aReader, const std::string& aName)
{
  CollectionPolicy policy;
  policy.mName = aName;
  const std::string prefix = "collection." + aName + ".";
  aReader.TextList(prefix + "services", Presence::Required, policy.mServices);
  if (aReader.Has(prefix + "services") && policy.mServices.empty()) {
    aReader.Problem(prefix + "services", "a collection needs at least one service");
  }
  for (const std::string& service : policy.mServices) {
    if (!IsValidName(service)) {
      aReader.Problem(prefix + "services", fmt::format("'{}' is not a valid name", service));
    }
    if (std::count(policy.mServices.begin(), policy.mServices.end(), service) > 1) {
      aReader.Problem(prefix + "services", fmt::format("'{}' is listed twice", service));
      break;
    }
  }
  aReader.Text(
    prefix + "default_class", Presence::Required, 1, kMaxNameLength, policy.mDefaultClass);
  policy.mReplicas = ReadCount(aReader, prefix + "replicas", 1, 10'000, policy.mReplicas);
  policy.mSlots = ReadCount(aReader, prefix + "slots", 1, 10'000, policy.mSlots);
  policy.mConnections = ReadCount(aReader, prefix + "connections", 1, 100'000, policy.mConnections);
  aReader.Time(prefix + "connect_cost",
               Presence::Optional,
               Duration::zero(),
               std::chrono::seconds(1),
               policy.mConnectCost);
  return policy;
}

DataCentrePolicy
ReadDataCentre(SettingsReader& aReader, const std::string& aName)
{
  DataCentrePolicy policy;
  policy.mName = aName;
  aReader.Text(
    "data_centre." + aName + ".region", Presence::Required, 1, kMaxNameLength, policy.mRegion);
  return policy;
}

CallerPolicy
ReadCaller(SettingsReader& aReader, const std::string& aName)
{
  CallerPolicy policy;
  policy.mName = aName;
  const std::string prefix = "caller." + aName + ".";
  ReadKeyHash(aReader, prefix + "key_sha256", Presence::Optional, policy.mKeySha256);
  aReader.TextList(prefix + "collections", Presence::Required, policy.mCollections);
  aReader.TextList(prefix + "classes", Presence::Required, policy.mClasses);
  return policy;
}

TeamPolicy
ReadTeam(SettingsReader& aReader, const std::string& aName)
{
  TeamPolicy policy;
  policy.mName = aName;
  const std::string prefix = "team." + aName + ".";
  ReadKeyHash(aReader, prefix + "key_sha256", Presence::Required, policy.mKeySha256);
  aReader.TextList(prefix + "sections", Presence::Required, policy.mSections);
  return policy;
}

void
CheckReferences(SettingsReader& aReader, const Config& aConfig)
{
  for (const auto& [name, collection] : aConfig.mCollections) {
    if (!collection.mDefaultClass.empty() && !aConfig.mClasses.contains(collection.mDefaultClass)) {
      aReader.Problem(fmt::format("collection.{}.default_class", name),
                      fmt::format("no class is named '{}'", collection.mDefaultClass));
    }
  }
  for (const auto& [name, caller] : aConfig.mCallers) {
    for (const std::string& collection : caller.mCollections) {
      if (!aConfig.mCollections.contains(collection)) {
        aReader.Problem(fmt::format("caller.{}.collections", name),
                        fmt::format("no collection is named '{}'", collection));
      }
    }
    for (const std::string& className : caller.mClasses) {
      if (!aConfig.mClasses.contains(className)) {
        aReader.Problem(fmt::format("caller.{}.classes", name),
                        fmt::format("no class is named '{}'", className));
      }
    }
  }
}

} // namespace

ConfigResult
ParseConfig(const std::string& aFile, std::string_view aText)
{
  SettingsReader reader(aFile, aText);
  ConfigResult result;
  Config& config = result.mConfig;
  for (const std::string& name : ReadSectionNames(reader, "class")) {
    config.mClasses.emplace(name, ReadClass(reader, name));
  }
  for (const std::string& name : ReadSectionNames(reader, "collection")) {
    config.mCollections.emplace(name, ReadCollection(reader, name));
  }
  for (const std::string& name : ReadSectionNames(reader, "data_centre")) {
    config.mDataCentres.emplace(name, ReadDataCentre(reader, name));
  }
  for (const std::string& name : ReadSectionNames(reader, "caller")) {
    config.mCallers.emplace(name, ReadCaller(reader, name));
  }
  for (const std::string& name : ReadSectionNames(reader, "team")) {
    config.mTeams.emplace(name, ReadTeam(reader, name));
  }
  CheckReferences(reader, config);
  result.mProblems = reader.Finish();
  return result;
}

} // namespace apricotyard
