#include "codec.h"

#include "http_server.h"
#include "settings.h"

#include <algorithm>
#include <initializer_list>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kStateNames[] = { "starting", "ready", "draining", "left" };
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxVersions = 64;
constexpr std::int64_t kMaxDeadlineMs = 600'000;

// Validating reader for the fields of one JSON object. Keeps the first error.
class FieldReader
{
public:
  explicit FieldReader(std::string_view aBody)
    : mObject(Json::parse(aBody, nullptr, false))
  {
    if (!mObject.is_object()) {
      SetError("the body is not a JSON object");
    }
  }

  bool Has(const char* aName) const { return mObject.is_object() && mObject.contains(aName); }

  std::uint64_t Unsigned(const char* aName, std::uint64_t aMin, std::uint64_t aMax)
  {
    const Json* const value = ReadField(aName);
    if (value == nullptr || !value->is_number_unsigned() || value->get<std::uint64_t>() < aMin ||
        value->get<std::uint64_t>() > aMax) {
      SetError(fmt::format("'{}' must be an integer from {} to {}", aName, aMin, aMax));
      return aMin;
    }
    return value->get<std::uint64_t>();
  }

  double Number(const char* aName, double aMin, double aMax)
  {
    const Json* const value = ReadField(aName);
    if (value == nullptr || !value->is_number() || !(value->get<double>() >= aMin) ||
        !(value->get<double>() <= aMax)) {
      SetError(fmt::format("'{}' must be a number from {} to {}", aName, aMin, aMax));
      return aMin;
    }
    return value->get<double>();
  }

  std::string Text(const char* aName, std::size_t aMin, std::size_t aMax)
  {
    const Json* const value = ReadField(aName);
    if (value == nullptr || !value->is_string() ||
        value->get_ref<const std::string&>().size() < aMin ||
        value->get_ref<const std::string&>().size() > aMax) {
      SetError(fmt::format("'{}' must be a text of {} to {} bytes", aName, aMin, aMax));
      return {};
    }
    return value->get<std::string>();
  }

  const Json* Array(const char* aName, std::size_t aMax)
  {
    const Json* const value = ReadField(aName);
    if (value == nullptr || !value->is_array() || value->size() > aMax) {
      SetError(fmt::format("'{}' must be an array of at most {} values", aName, aMax));
      return nullptr;
    }
    return value;
  }

  void SetError(std::string aMessage)
  {
    if (mError.empty()) {
      mError = std::move(aMessage);
    }
  }

  // Returns the first error. Fields that were never read are an error.
  Expected<void> Finish()
  {
    if (mError.empty() && mFieldsRead.size() != mObject.size()) {
      for (const auto& [key, value] : mObject.items()) {
        if (std::find(mFieldsRead.begin(), mFieldsRead.end(), key) == mFieldsRead.end()) {
          SetError(fmt::format("unknown field '{}'", key));
        }
      }
    }
    if (!mError.empty()) {
      return Fail(Result::BadRequest, mError);
    }
    return {};
  }

private:
  const Json* ReadField(const char* aName)
  {
    if (!mObject.is_object()) {
      return nullptr;
    }
    const auto found = mObject.find(aName);
    if (found == mObject.end()) {
      return nullptr;
    }
    mFieldsRead.emplace_back(aName);
    return &*found;
  }

  Json mObject;
  std::vector<std::string> mFieldsRead;
  std::string mError;
};

UpstreamState
ReadState(FieldReader& aReader)
{
  const std::string name = aReader.Text("state", 1, kMaxIdLength);
  const auto* const found = std::find(std::begin(kStateNames), std::end(kStateNames), name);
  if (found == std::end(kStateNames)) {
    aReader.SetError("'state' must be starting, ready, draining or left");
    return UpstreamState::Left;
  }
  return static_cast<UpstreamState>(found - std::begin(kStateNames));
}

std::vector<IndexVersion>
ReadVersions(FieldReader& aReader)
{
  std::vector<IndexVersion> versions;
  const Json* const array = aReader.Array("versions", kMaxVersions);
  if (array == nullptr) {
    return versions;
  }
  for (const Json& value : *array) {
    if (!value.is_number_unsigned()) {
      aReader.SetError("'versions' must hold integers from 0");
      return {};
    }
    versions.push_back(value.get<IndexVersion>());
  }
  std::sort(versions.begin(), versions.end());
  versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
  return versions;
}

ShardKey
ReadShardKey(FieldReader& aReader)
{
  ShardKey key;
  key.mService = aReader.Text("service", 1, kMaxIdLength);
  key.mMap = static_cast<std::uint32_t>(aReader.Unsigned("map", 1, UINT32_MAX));
  key.mShard = static_cast<std::uint32_t>(aReader.Unsigned("shard", 0, UINT32_MAX));
  return key;
}

} // namespace

std::string_view
UpstreamStateName(UpstreamState aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

std::string
EncodeAnnouncement(const UpstreamInfo& aInfo)
{
  const Json object{ { "id", aInfo.mId },
                     { "incarnation", aInfo.mIncarnation },
                     { "sequence", aInfo.mSequence },
                     { "service", aInfo.mService },
                     { "map", aInfo.mMap },
                     { "shard", aInfo.mShard },
                     { "low", aInfo.mRange.mLow },
                     { "high", aInfo.mRange.mHigh },
                     { "address", FormatSocketAddress(aInfo.mAddress) },
                     { "data_centre", aInfo.mDataCentre },
                     { "slots", aInfo.mSlots },
                     { "connections", aInfo.mConnections },
                     { "versions", aInfo.mVersions },
                     { "state", UpstreamStateName(aInfo.mState) } };
  return object.dump();
}

Expected<UpstreamInfo>
DecodeAnnouncement(std::string_view aBody)
{
  FieldReader reader(aBody);
  UpstreamInfo info;
  info.mId = reader.Text("id", 1, kMaxIdLength);
  info.mIncarnation = reader.Unsigned("incarnation", 1, UINT64_MAX);
  info.mSequence = reader.Unsigned("sequence", 1, UINT64_MAX);
  const ShardKey key = ReadShardKey(reader);
  info.mService = key.mService;
  info.mMap = key.mMap;
  info.mShard = key.mShard;
  info.mRange.mLow = reader.Unsigned("low", 0, kKeySpace - 1);
  info.mRange.mHigh = reader.Unsigned("high", 1, kKeySpace);
  if (info.mRange.mHigh <= info.mRange.mLow) {
    reader.SetError("'high' must exceed 'low'");
  }
  const auto address = ParseSocketAddress(reader.Text("address", 1, kMaxIdLength));
  if (address) {
    info.mAddress = *address;
  } else {
    reader.SetError("'address' must be of the form IP:PORT");
  }
  info.mDataCentre = reader.Text("data_centre", 1, kMaxIdLength);
  info.mSlots = static_cast<std::uint32_t>(reader.Unsigned("slots", 1, 10'000));
  info.mConnections = static_cast<std::uint32_t>(reader.Unsigned("connections", 1, 100'000));
  info.mVersions = ReadVersions(reader);
  info.mState = ReadState(reader);
  if (const auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return info;
}

std::string
EncodeSubrequestReply(const SubrequestReply& aReply)
{
  std::string items;
  for (const std::string& item : aReply.mItems) {
    items += items.empty() ? item : "," + item;
  }
  return fmt::format(
    R"({{"subrequest":{},"service":{},"map":{},"shard":{},"version":{},"count":{},"items":[{}]}})",
    aReply.mAttempt,
    JsonQuote(aReply.mShard.mService),
    aReply.mShard.mMap,
    aReply.mShard.mShard,
    aReply.mVersion,
    aReply.mItems.size(),
    items);
}

Expected<SubrequestReply>
DecodeSubrequestReply(std::string_view aBody)
{
  constexpr std::size_t kMaxItems = 100'000;
  FieldReader reader(aBody);
  SubrequestReply reply;
  reply.mAttempt = reader.Unsigned("subrequest", 0, UINT64_MAX);
  reply.mShard = ReadShardKey(reader);
  reply.mVersion = reader.Unsigned("version", 0, UINT64_MAX);
  const std::uint64_t count = reader.Unsigned("count", 0, kMaxItems);
  if (const Json* const items = reader.Array("items", kMaxItems)) {
    for (const Json& item : *items) {
      reply.mItems.push_back(item.dump());
    }
  }
  if (reply.mItems.size() != count) {
    reader.SetError("'count' does not match the number of items");
  }
  if (const auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return reply;
}

Expected<QueryRequest>
DecodeQuery(std::string_view aBody)
{
  constexpr std::size_t kMaxQuery = std::size_t{ 64 } * 1024;
  FieldReader reader(aBody);
  QueryRequest request;
  request.mCollection = reader.Text("collection", 1, kMaxIdLength);
  request.mQuery = reader.Text("query", 0, kMaxQuery);
  if (reader.Has("class")) {
    request.mClass = reader.Text("class", 1, kMaxIdLength);
  }
  if (reader.Has("min_coverage")) {
    request.mMinCoverage = reader.Number("min_coverage", 0.0, 1.0);
  }
  if (reader.Has("deadline_ms")) {
    request.mDeadline =
      std::chrono::milliseconds(reader.Unsigned("deadline_ms", 1, kMaxDeadlineMs));
  }
  if (const auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return request;
}

std::string
EncodeAnswer(const std::string& aRequestId, const Answer& aAnswer)
{
  const ResultInfo& result = Describe(aAnswer.mResult);
  Json missing = Json::array();
  for (const MissingShard& shard : aAnswer.mMissing) {
    missing.push_back({ { "service", shard.mShard.mService },
                        { "map", shard.mShard.mMap },
                        { "shard", shard.mShard.mShard },
                        { "reason", MissingReasonName(shard.mReason) } });
  }
  Json object{ { "request_id", aRequestId },
               { "result",
                 { { "code", result.mNumber },
                   { "name", result.mName },
                   { "message", result.mText },
                   { "may_have_run", result.mMayHaveRun } } },
               { "snapshot",
                 { { "version", aAnswer.mSnapshot.mVersion },
                   { "maps", aAnswer.mSnapshot.mMaps } } },
               { "coverage",
                 { { "expected", aAnswer.mExpected },
                   { "answered", aAnswer.mAnswered },
                   { "fraction", aAnswer.Coverage() },
                   { "missing", missing } } },
               { "elapsed_us", aAnswer.mElapsed.count() },
               { "attempts", aAnswer.mAttempts } };
  if (aAnswer.mRetryAfter > Duration::zero()) {
    object["retry_after_ms"] =
      std::chrono::ceil<std::chrono::milliseconds>(aAnswer.mRetryAfter).count();
  }
  // Items are already encoded as JSON, so they are appended as they are.
  std::string body = object.dump(-1, ' ', false, Json::error_handler_t::replace);
  body.pop_back();
  body += ",\"items\":[";
  for (std::size_t i = 0; i < aAnswer.mItems.size(); ++i) {
    body += i == 0 ? "" : ",";
    body += aAnswer.mItems[i];
  }
  return body + "]}";
}

} // namespace apricotyard
