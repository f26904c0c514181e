// Guards against heartbeats, documents and calls of the platform that are decoded wrongly.
#include "caller_identity.h"
#include "check_text.h"
#include "property.h"
#include "wire.h"

#include <functional>
#include <limits>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace apricotyard;
using namespace apricotyard::platform;
using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

HttpRequest
MakeRequest(const std::string& aMethod, const std::string& aPath, const std::string& aBody = "")
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = aBody;
  return request;
}

Json
MakeHeartbeat()
{
  return { { "service", "s" },     { "address", "10.0.0.9:8080" },
           { "zone", "z" },        { "version", "v1" },
           { "slots", 5 },         { "state", "ready" },
           { "sequence", 4 },      { "born", 1'700'000'000'123 },
           { "warmup_left_ms", 0 } };
}

Json
MakeDocument()
{
  return Json::parse(R"({"version":7,"routes":[
    {"name":"g","host":"h","path_prefix":"/g/","route_type":"idempotent","timeout_ms":1200,
     "target_latency_ms":100,"priority":1,"gather":["s","t"],"max_attempts":2,"top_k":10,
     "min_coverage":0.89},
    {"name":"o","host":"h","path_prefix":"/o/","route_type":"non_idempotent","timeout_ms":4000,
     "service":"s"},
    {"name":"w","host":"h","path_prefix":"/w/","route_type":"idempotent","timeout_ms":10.5,
     "traffic_split":[{"service":"s","weight":3},{"service":"t","weight":1}]}],
    "services":[{"name":"s","max_connections":25},{"name":"t","max_connections":5}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}})");
}

// The text of a document in which some values are missing, of another type or out of range, and
// some names, hosts, prefixes and keys are equal.
rc::Gen<std::string>
RandomDocumentText()
{
  return rc::gen::exec([] {
    Json document = MakeDocument();
    document["tenants"] = { { { "name", "a" }, { "api_keys", { "k1", "k2" } } },
                            { { "name", "b" },
                              { "api_keys", { "k3" } },
                              { "rate_per_s", 5 },
                              { "burst_size", 2 },
                              { "priority", 1 } } };
    const std::vector<Json> values = {
      -1,           0,        1,         2.5,  1e300, "",     "s",    "t",           "/o/",
      "/",          "h",      "a",       "k1", true,  Json(), "H:80", Json::array(), Json::object(),
      { "s", "t" }, { "k1" }, { "none" }
    };
    const int changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes; ++i) {
      // All paths to values of the document.
      std::vector<std::string> paths;
      const Json flat = document.flatten();
      for (const auto& [path, value] : flat.items()) {
        paths.push_back(path);
        paths.push_back(path.substr(0, path.rfind('/')));
      }
      const Json::json_pointer place(*rc::gen::elementOf(paths));
      if (place.empty() || !document.contains(place)) {
        continue;
      }
      if (*rc::gen::inRange(0, 4) == 0) {
        Json& parent = document[place.parent_pointer()];
        if (parent.is_object()) {
          parent.erase(place.back());
        }
      } else {
        document[place] = *rc::gen::elementOf(values);
      }
    }
    std::string text = document.dump();
    const bool cut = *rc::gen::inRange(0, 20) == 0;
    return cut ? text.substr(0, text.size() / 2) : text;
  });
}

} // namespace

class PlatformWireTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformWireTest);
  CPPUNIT_TEST(DecodesHeartbeat);
  CPPUNIT_TEST(RejectsMalformedHeartbeats);
  CPPUNIT_TEST(NumbersOutOfRangeNameNoReplica);
  CPPUNIT_TEST(UnreadableOrLongNamesNameNoReplica);
  CPPUNIT_TEST(DeeplyNestedBodiesAreRejected);
  CPPUNIT_TEST(NumbersOutOfRangeInvalidateDocuments);
  CPPUNIT_TEST(DecodesLeave);
  CPPUNIT_TEST(DecodesCallKinds);
  CPPUNIT_TEST(DecodesWarmup);
  CPPUNIT_TEST(DecodesEvacuations);
  CPPUNIT_TEST(DecodesDocument);
  CPPUNIT_TEST(RejectsMalformedDocuments);
  CPPUNIT_TEST(CheckNamesTheFieldOfAnError);
  CPPUNIT_TEST(CheckNamesTheFieldOfAWarning);
  CPPUNIT_TEST(CheckAgreesWithCoordinators);
  CPPUNIT_TEST(CheckPrintsNoKeys);
  CPPUNIT_TEST(LimitsNumberOfGateways);
  CPPUNIT_TEST(DecodesRequestLimit);
  CPPUNIT_TEST(DecodesLeavingAndRetryAfter);
  CPPUNIT_TEST_SUITE_END();

public:
  void DecodesHeartbeat()
  {
    const auto call = DecodeCall(MakeRequest("PUT", "/instances/i-1", MakeHeartbeat().dump()));
    CPPUNIT_ASSERT(call && call->mKind == FleetCallKind::Announce);
    const UpstreamInfo& info = call->mUpstream;
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), info.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), info.mService);
    CPPUNIT_ASSERT(info.mAddress == (SocketAddress{ "10.0.0.9", 8080 }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'700'000'000'123), info.mIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), info.mSequence);
    CPPUNIT_ASSERT_EQUAL(5U, info.mSlots);
    CPPUNIT_ASSERT(info.mState == UpstreamState::Ready);
  }

  void RejectsMalformedHeartbeats()
  {
    const std::vector<std::pair<std::string, Json>> changes = {
      { "service", 7 },        { "service", "" },         { "address", "elsewhere" },
      { "address", nullptr },  { "zone", Json::array() }, { "slots", "5" },
      { "slots", -1 },         { "state", "asleep" },     { "sequence", 1.5 },
      { "born", "yesterday" }, { "version", 1 },          { "version", "" },
      { "version", nullptr },  { "warmup_left_ms", "0" }, { "warmup_left_ms", -1 },
    };
    for (const auto& [name, value] : changes) {
      Json heartbeat = MakeHeartbeat();
      heartbeat[name] = value;
      CPPUNIT_ASSERT_MESSAGE(name,
                             !DecodeCall(MakeRequest("PUT", "/instances/i-1", heartbeat.dump())));
    }
    for (const char* const name : { "service",
                                    "address",
                                    "zone",
                                    "version",
                                    "slots",
                                    "state",
                                    "warmup_left_ms",
                                    "sequence" }) {
      Json heartbeat = MakeHeartbeat();
      heartbeat.erase(name);
      CPPUNIT_ASSERT_MESSAGE(name,
                             !DecodeCall(MakeRequest("PUT", "/instances/i-1", heartbeat.dump())));
    }
    for (const char* const body : { "", "{", "[]", "\xff\xfe", "null", "7" }) {
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeCall(MakeRequest("PUT", "/instances/i-1", body)));
    }
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/", MakeHeartbeat().dump())));
  }

  void NumbersOutOfRangeNameNoReplica()
  {
    constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
    const std::vector<std::pair<std::string, Json>> changes = {
      { "slots", std::uint64_t{ 1 } << 32U },
      { "slots", kLargest },
      { "sequence", kLargest },
      { "born", kLargest },
      { "born", kLargest / 2 },
      { "address", "10.0.0.9:65536" },
      { "address", "10.0.0.9:4294975376" },
      { "address", "10.0.0.9:-1" },
      { "address", "10.0.0.9:0" },
    };
    for (const auto& [name, value] : changes) {
      Json heartbeat = MakeHeartbeat();
      heartbeat[name] = value;
      CPPUNIT_ASSERT_MESSAGE(name + " " + value.dump(),
                             !DecodeCall(MakeRequest("PUT", "/instances/i-1", heartbeat.dump())));
    }
    for (const char* const number : { "1e400", "123456789012345678901234567890" }) {
      const std::string body = MakeHeartbeat().dump().replace(
        MakeHeartbeat().dump().find(":5"), 2, ":" + std::string(number));
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeCall(MakeRequest("PUT", "/instances/i-1", body)));
    }
    CPPUNIT_ASSERT(
      !DecodeCall(MakeRequest("DELETE", "/instances/i-1", Json{ { "born", kLargest } }.dump())));
  }

  // Records of upstreams are sent as protobuf strings, of which one that is not UTF-8, or many that
  // are long, make the whole message unreadable.
  void UnreadableOrLongNamesNameNoReplica()
  {
    const std::string body = MakeHeartbeat().dump();
    const std::string longName(300, 'x');
    for (const std::string& id : { std::string("\xff\xfe"), std::string("a b"), longName }) {
      CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/" + id, body)));
      CPPUNIT_ASSERT(!DecodeCall(MakeRequest("DELETE", "/instances/" + id)));
    }
    for (const char* const name : { "service", "zone" }) {
      Json heartbeat = MakeHeartbeat();
      heartbeat[name] = longName;
      CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/i-1", heartbeat.dump())));
    }
  }

  void DeeplyNestedBodiesAreRejected()
  {
    constexpr std::size_t kDepth = 500'000;
    std::string objects;
    for (std::size_t i = 0; i < kDepth; ++i) {
      objects += "{\"a\":";
    }
    const std::string lists = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::string field = MakeHeartbeat().dump();
    field.back() = ',';
    for (const std::string& body :
         { std::string(kDepth, '['), lists, objects, objects + "1" + std::string(kDepth, '}') }) {
      CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/i-1", body)));
      CPPUNIT_ASSERT(!DecodeDocument(body));
    }
    // Unknown fields are ignored, whatever they hold.
    CPPUNIT_ASSERT(
      DecodeCall(MakeRequest("PUT", "/instances/i-1", field + "\"other\":" + lists + "}")));
  }

  void NumbersOutOfRangeInvalidateDocuments()
  {
    const std::vector<std::pair<std::string, Json>> changes = {
      { "/routes/0/max_attempts", std::uint64_t{ 1 } << 32U },
      { "/routes/0/priority", std::uint64_t{ 1 } << 40U },
      { "/routes/0/timeout_ms", 1e300 },
      { "/routes/0/target_latency_ms", -1e300 },
      { "/services/0/max_connections", std::uint64_t{ 1 } << 32U },
      { "/limits/idle_timeout_ms", 1e30 },
    };
    for (const auto& [path, value] : changes) {
      Json document = MakeDocument();
      document[Json::json_pointer(path)] = value;
      CPPUNIT_ASSERT_MESSAGE(path, !DecodeDocument(document.dump()));
    }
  }

  void DecodesLeave()
  {
    const auto withoutBody = DecodeCall(MakeRequest("DELETE", "/instances/i-1"));
    CPPUNIT_ASSERT(withoutBody && withoutBody->mKind == FleetCallKind::Leave);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), withoutBody->mUpstream.mId);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), withoutBody->mUpstream.mIncarnation);
    const auto withIncarnation =
      DecodeCall(MakeRequest("DELETE", "/instances/i-1", R"({"born":12})"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), withIncarnation->mUpstream.mIncarnation);
  }

  void DecodesCallKinds()
  {
    const auto kind = [](const std::string& aMethod, const std::string& aPath) {
      return DecodeCall(MakeRequest(aMethod, aPath))->mKind;
    };
    CPPUNIT_ASSERT(kind("PUT", "/config") == FleetCallKind::OfferDocument);
    CPPUNIT_ASSERT(kind("GET", "/config") == FleetCallKind::ReadDocument);
    CPPUNIT_ASSERT(kind("POST", "/config") == FleetCallKind::Unknown);
    CPPUNIT_ASSERT(kind("GET", "/ready") == FleetCallKind::CheckReady);
    CPPUNIT_ASSERT(kind("GET", "/elsewhere") == FleetCallKind::Unknown);
    HttpRequest resolve = MakeRequest("GET", "/resolve");
    resolve.mArguments["zone"] = "z";
    CPPUNIT_ASSERT_EQUAL(std::string("z"), DecodeCall(resolve)->mDataCentre);
  }

  void DecodesWarmup()
  {
    Json body = MakeHeartbeat();
    body["warmup_left_ms"] = 2500.5;
    const auto call = DecodeCall(MakeRequest("PUT", "/instances/i-1", body.dump()));
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT(call->mWarmupLeft == std::chrono::microseconds(2'500'500));
    body["warmup_left_ms"] = -1;
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/i-1", body.dump())));
    body["warmup_left_ms"] = 1e300;
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/i-1", body.dump())));
    body["warmup_left_ms"] = "1";
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("PUT", "/instances/i-1", body.dump())));
  }

  void DecodesEvacuations()
  {
    const auto begin = DecodeCall(MakeRequest("POST", "/evacuation/eu-1"));
    CPPUNIT_ASSERT(begin && begin->mKind == FleetCallKind::BeginEvacuation);
    CPPUNIT_ASSERT_EQUAL(std::string("eu-1"), begin->mDataCentre);
    const auto end = DecodeCall(MakeRequest("DELETE", "/evacuation/hall 2/b"));
    CPPUNIT_ASSERT(end && end->mKind == FleetCallKind::EndEvacuation);
    CPPUNIT_ASSERT_EQUAL(std::string("hall 2/b"), end->mDataCentre);
    CPPUNIT_ASSERT(DecodeCall(MakeRequest("GET", "/evacuation/b"))->mKind ==
                   FleetCallKind::Unknown);
    CPPUNIT_ASSERT(DecodeCall(MakeRequest("POST", "/evacuation"))->mKind == FleetCallKind::Unknown);
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("POST", "/evacuation/")));
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("POST", "/evacuation/a\nb")));
    CPPUNIT_ASSERT(!DecodeCall(MakeRequest("POST", "/evacuation/" + std::string(257, 'a'))));
  }

  void DecodesDocument()
  {
    const auto document = DecodeDocument(MakeDocument().dump());
    CPPUNIT_ASSERT(document.has_value() && CheckRouting(*document).has_value());
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(7), document->mVersion);
    const Route& gatherRoute = document->mRoutes[0];
    CPPUNIT_ASSERT(gatherRoute.mTarget == RouteTarget::AllShards && gatherRoute.mRepeatable);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), gatherRoute.mServices.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), gatherRoute.mTopRecords);
    CPPUNIT_ASSERT(gatherRoute.mObjective == milliseconds(100) && gatherRoute.mMaxAttempts == 2);
    const Route& singleService = document->mRoutes[1];
    // A route that is not idempotent is not repeatable, and the default is one attempt.
    CPPUNIT_ASSERT(!singleService.mRepeatable && singleService.mMaxAttempts == 1);
    CPPUNIT_ASSERT(singleService.mObjective == singleService.mTimeout);
    CPPUNIT_ASSERT(document->mRoutes[2].mServices[0].mWeight == 3);
    CPPUNIT_ASSERT_EQUAL(25U, document->mServices[0].mMaxConnections);
    CPPUNIT_ASSERT(document->mLimits.mIdleTimeout == milliseconds(15000));
  }

  void RejectsMalformedDocuments()
  {
    const std::string encoded = MakeDocument().dump();
    for (std::size_t length = 0; length < encoded.size(); length += 7) {
      CPPUNIT_ASSERT(!DecodeDocument(encoded.substr(0, length)).has_value());
    }
    const std::vector<std::pair<std::string, Json>> changes = {
      { "/version", "7" },
      { "/version", -1 },
      { "/routes", 3 },
      { "/services", nullptr },
      { "/routes/0/host", 4 },
      { "/routes/0/timeout_ms", "x" },
      { "/routes/0/gather", "s" },
      { "/routes/0/gather/1", 5 },
      { "/routes/1/service", 9 },
      { "/routes/2/traffic_split", "s" },
      { "/services/0/name", 1 },
      { "/routes/0/top_k", "many" },
    };
    for (const auto& [path, value] : changes) {
      Json changed = MakeDocument();
      changed[Json::json_pointer(path)] = value;
      CPPUNIT_ASSERT_MESSAGE(path, !DecodeDocument(changed.dump()).has_value());
    }
    Json withoutTimeout = MakeDocument();
    withoutTimeout["routes"][0]["timeout_ms"] = 0;
    CPPUNIT_ASSERT(!CheckRouting(*DecodeDocument(withoutTimeout.dump())).has_value());
  }

  void CheckNamesTheFieldOfAnError()
  {
    const auto pathOf = [](const std::function<void(Json&)>& aChange) {
      Json document = MakeDocument();
      aChange(document);
      const CheckedDocument checked = CheckText(document.dump());
      CPPUNIT_ASSERT(!checked.mDocument && checked.mFindings.size() == 1);
      CPPUNIT_ASSERT(checked.mFindings[0].second.mSeverity == Severity::Error);
      return checked.mFindings[0].first;
    };
    const std::vector<std::pair<std::string, std::function<void(Json&)>>> mistakes = {
      { "version", [](Json& aDoc) { aDoc["version"] = "x"; } },
      { "routes", [](Json& aDoc) { aDoc["routes"] = 1; } },
      { "services", [](Json& aDoc) { aDoc.erase("services"); } },
      { "routes[1]", [](Json& aDoc) { aDoc["routes"][1] = 1; } },
      { "routes[1].timeout_ms", [](Json& aDoc) { aDoc["routes"][1]["timeout_ms"] = 0; } },
      { "routes[1].timeout_ms", [](Json& aDoc) { aDoc["routes"][1].erase("timeout_ms"); } },
      { "routes[1].service", [](Json& aDoc) { aDoc["routes"][1]["service"] = "none"; } },
      { "routes[0].gather[1]", [](Json& aDoc) { aDoc["routes"][0]["gather"][1] = "none"; } },
      { "routes[2].traffic_split[1].weight",
        [](Json& aDoc) { aDoc["routes"][2]["traffic_split"][1]["weight"] = -1; } },
      { "routes[2].path_prefix", [](Json& aDoc) { aDoc["routes"][2]["path_prefix"] = "/o/"; } },
      { "services[1].max_connections",
        [](Json& aDoc) { aDoc["services"][1]["max_connections"] = -1; } },
      { "tenants", [](Json& aDoc) { aDoc["tenants"] = 1; } },
      { "tenants[1].name",
        [](Json& aDoc) {
          aDoc["tenants"] = { { { "name", "a" }, { "api_keys", Json::array() } },
                              { { "name", "a" }, { "api_keys", Json::array() } } };
        } },
      { "tenants[1].api_keys[0]",
        [](Json& aDoc) {
          aDoc["tenants"] = { { { "name", "a" }, { "api_keys", { "k1", "k2" } } },
                              { { "name", "b" }, { "api_keys", { "k2" } } } };
        } },
      { "limits.max_body_bytes", [](Json& aDoc) { aDoc["limits"]["max_body_bytes"] = -1; } },
    };
    for (const auto& [path, change] : mistakes) {
      CPPUNIT_ASSERT_EQUAL(path, pathOf(change));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckText("{").mFindings.at(0).first);
  }

  void CheckNamesTheFieldOfAWarning()
  {
    Json document = MakeDocument();
    document["routes"][2]["traffic_split"][1]["weight"] = 0;
    document["tenants"] = { { { "name", "a" }, { "api_keys", { "k", "k" } } } };
    const CheckedDocument checked = CheckText(document.dump());
    CPPUNIT_ASSERT(checked.mDocument.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), checked.mFindings.size());
    CPPUNIT_ASSERT_EQUAL(std::string("routes[2].traffic_split[1].weight"),
                         checked.mFindings[0].first);
    CPPUNIT_ASSERT_EQUAL(std::string("tenants[0].api_keys[1]"), checked.mFindings[1].first);
  }

  // The steps of a coordinator are those of Coordinator::HandleOfferDocument.
  void CheckAgreesWithCoordinators()
  {
    CheckProperty("the check finds an error in just the documents that coordinators refuse", [] {
      const std::string text = *RandomDocumentText();
      const auto document = MakePlatformProtocol().mDecodeDocument(text);
      const Expected<void> taken =
        document ? CheckRouting(*document) : tl::unexpected(document.error());
      const CheckedDocument checked = CheckText(text);
      RC_CLASSIFY(taken.has_value(), "valid");
      RC_ASSERT(checked.mDocument.has_value() == taken.has_value());
      std::vector<std::string> errors;
      for (const auto& [path, finding] : checked.mFindings) {
        if (finding.mSeverity == Severity::Error) {
          errors.push_back(finding.mText);
        }
      }
      RC_ASSERT(errors ==
                (taken ? std::vector<std::string>() : std::vector{ taken.error().mMessage }));
    });
  }

  void CheckPrintsNoKeys()
  {
    Json document = MakeDocument();
    document["tenants"] = { { { "name", "a" }, { "api_keys", { "secret", "secret" } } },
                            { { "name", "b" }, { "api_keys", { "other" } } } };
    const auto inForce = CheckText(document.dump());
    document["tenants"][1]["api_keys"] = { "secret" };
    const auto shared = CheckText(document.dump());
    document["tenants"][1]["api_keys"] = { "another" };
    const auto changed = CheckText(document.dump());
    CPPUNIT_ASSERT(inForce.mDocument && changed.mDocument && !shared.mDocument);
    std::string texts;
    for (const CheckedDocument* const checked : { &inForce, &shared, &changed }) {
      for (const auto& [path, finding] : checked->mFindings) {
        texts += path + finding.mText;
      }
    }
    for (const ItemChange& change :
         CompareDocuments(*inForce.mDocument, *changed.mDocument).mChanges) {
      for (const FieldChange& field : change.mFields) {
        texts += field.mBefore + field.mAfter;
      }
    }
    for (const std::string key : { "secret", "other", "another" }) {
      CPPUNIT_ASSERT(texts.find(key) == std::string::npos);
      CPPUNIT_ASSERT(texts.find(KeyFingerprint(DigestKey(key))) != std::string::npos);
    }
  }

  void LimitsNumberOfGateways()
  {
    const std::vector<SocketAddress> gateways(100, { "10.0.0.1", 80 });
    const Json body = Json::parse(EncodeGateways(gateways, milliseconds(2500)).mBody);
    CPPUNIT_ASSERT_EQUAL(std::size_t(64), body["addrs"].size());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), body["addrs"][0].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2.5, body["ttl_s"].get<double>());
  }

  void DecodesLeavingAndRetryAfter()
  {
    const auto decode = [](int aStatus, const std::string& aName, const std::string& aValue) {
      ClientReply reply;
      reply.mStatus = aStatus;
      reply.mRawHeaders = { { aName, aValue } };
      return MakePlatformProtocol().mDecodeSignals(reply);
    };
    CPPUNIT_ASSERT(decode(200, "Server-Leaving", "1").mLeaving);
    CPPUNIT_ASSERT(!decode(200, "Server-Leaving", "0").mLeaving);
    CPPUNIT_ASSERT(!decode(200, "Server-Leaving", "soon").mLeaving);
    CPPUNIT_ASSERT_EQUAL(std::string("server-leaving"),
                         decode(200, "Server-Leaving", "soon").mUnreadable);
    CPPUNIT_ASSERT(decode(503, "Retry-After", "2.5").mRetryAfter == milliseconds(2500));
    CPPUNIT_ASSERT(decode(503, "Retry-After", "1e30").mRetryAfter > std::chrono::hours(24));
    CPPUNIT_ASSERT(!decode(429, "Retry-After", "2").mRetryAfter);
    for (const std::string value : { "-3", "Fri, 31 Dec 1999 23:59:59 GMT" }) {
      CPPUNIT_ASSERT(!decode(503, "Retry-After", value).mRetryAfter);
      CPPUNIT_ASSERT_EQUAL(std::string("retry-after"),
                           decode(503, "Retry-After", value).mUnreadable);
    }
  }

  void DecodesRequestLimit()
  {
    const auto decode = [](const std::string& aValue) {
      ClientReply reply;
      reply.mRawHeaders = { { "Server-Limit", aValue } };
      return MakePlatformProtocol().mDecodeSignals(reply);
    };
    CPPUNIT_ASSERT(!MakePlatformProtocol().mDecodeSignals({}).mRequestLimit);
    CPPUNIT_ASSERT_EQUAL(31.4, decode("31.4").mRequestLimit.value_or(-1));
    CPPUNIT_ASSERT_EQUAL(0.0, decode("0").mRequestLimit.value_or(-1));
    for (const std::string unreadable : { "-1", "nan", "inf", "1e999", "many", "3 per second" }) {
      CPPUNIT_ASSERT_MESSAGE(unreadable, !decode(unreadable).mRequestLimit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        unreadable, std::string("server-limit"), decode(unreadable).mUnreadable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformWireTest);
