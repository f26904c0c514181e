#include "process_protocol.h"

#include "caller_identity.h"
#include "settings.h"

#include <cstdlib>
#include <sstream>

namespace apricotyard {

namespace {

constexpr std::uint32_t kMaxConnections = 100;
constexpr std::uint32_t kSlots = 4;
constexpr std::string_view kWorkspacePrefix = "workspace=";

std::uint64_t
NumberArgument(const HttpRequest& aRequest, std::string_view aName, std::uint64_t aDefault)
{
  const std::string text(aRequest.Argument(aName));
  return text.empty() ? aDefault : std::strtoull(text.c_str(), nullptr, 10);
}

Expected<FleetCall>
DecodeCall(const HttpRequest& aRequest)
{
  const std::string prefix = "/upstreams/";
  const std::string evacuationPrefix = "/evacuated/";
  FleetCall call;
  if (aRequest.mPath == "/document") {
    call.mKind =
      aRequest.mMethod == "PUT" ? FleetCallKind::OfferDocument : FleetCallKind::ReadDocument;
  } else if (aRequest.mPath == "/ready") {
    call.mKind = FleetCallKind::CheckReady;
  } else if (aRequest.mPath.starts_with(evacuationPrefix)) {
    call.mKind =
      aRequest.mMethod == "DELETE" ? FleetCallKind::EndEvacuation : FleetCallKind::BeginEvacuation;
    call.mDataCentre = aRequest.mPath.substr(evacuationPrefix.size());
  } else if (aRequest.mPath.starts_with(prefix)) {
    UpstreamInfo& info = call.mUpstream;
    call.mKind = aRequest.mMethod == "PUT" ? FleetCallKind::Announce : FleetCallKind::Leave;
    info.mId = aRequest.mPath.substr(prefix.size());
    info.mIncarnation = NumberArgument(aRequest, "incarnation", 1);
    info.mSequence = NumberArgument(aRequest, "sequence", 0);
    const std::string service(aRequest.Argument("service"));
    info.mService = service.empty() ? "s" : service;
    info.mAddress = ParseSocketAddress(std::string(aRequest.Argument("address")))
                      .value_or(SocketAddress{ "127.0.0.1", 1 });
    const std::string dataCentre(aRequest.Argument("data_centre"));
    info.mDataCentre = dataCentre.empty() ? "a" : dataCentre;
    info.mRange = { 0, kKeySpace };
    call.mWarmupLeft = std::chrono::milliseconds(NumberArgument(aRequest, "warmup", 0));
    info.mSlots = kSlots;
    info.mState =
      aRequest.Argument("state") == "draining" ? UpstreamState::Draining : UpstreamState::Ready;
  }
  return call;
}

// Decodes NAME:KEY:RATE:BURST.
Workspace
DecodeWorkspace(const std::string& aText)
{
  std::istringstream parts(aText);
  Workspace workspace;
  std::string key;
  std::string number;
  std::getline(parts, workspace.mName, ':');
  std::getline(parts, key, ':');
  workspace.mKeys = { DigestKey(key) };
  std::getline(parts, number, ':');
  workspace.mRate = std::strtod(number.c_str(), nullptr);
  std::getline(parts, number, ':');
  workspace.mBurst = std::strtod(number.c_str(), nullptr);
  return workspace;
}

Expected<RoutingDocument>
DecodeDocumentText(std::string_view aText)
{
  std::istringstream words{ std::string(aText) };
  RoutingDocument document;
  std::string target;
  words >> document.mVersion >> target;
  Route route;
  route.mName = "only";
  route.mHost = "h";
  route.mPathPrefix = "/";
  route.mTimeout = std::chrono::seconds(2);
  route.mObjective = std::chrono::milliseconds(250);
  route.mMaxAttempts = 2;
  route.mTarget = target == "all" ? RouteTarget::AllShards : RouteTarget::OneService;
  route.mTopRecords = 1;
  route.mMinCoverage = 0.5;
  for (std::string word; words >> word;) {
    if (word.starts_with(kWorkspacePrefix)) {
      document.mWorkspaces.push_back(DecodeWorkspace(word.substr(kWorkspacePrefix.size())));
      continue;
    }
    const std::size_t colon = word.find(':');
    const std::string service = word.substr(0, colon);
    const double rate =
      colon != std::string::npos ? std::strtod(word.c_str() + colon + 1, nullptr) : 0;
    route.mServices.push_back({ service, 1 });
    document.mServices.push_back({ service, kMaxConnections, rate });
  }
  if (!route.mServices.empty()) {
    document.mRoutes.push_back(std::move(route));
  }
  return document;
}

} // namespace

HeaderNames
TestHeaderNames()
{
  return { "x-id",      "x-left",    "x-expect", "x-signature", "x-parts",
           "x-missing", "x-not-run", "x-key",    "x-workspace" };
}

PlatformProtocol
MakeProcessProtocol()
{
  PlatformProtocol protocol;
  protocol.mHeaders = TestHeaderNames();
  protocol.mDecodeKey = [](const HttpRequest& aRequest) { return aRequest.Header("x-key"); };
  protocol.mDecodeCall = DecodeCall;
  protocol.mDecodeDocument = DecodeDocumentText;
  protocol.mEncodeGateways = [](const std::vector<SocketAddress>&, std::chrono::milliseconds) {
    return HttpResponse();
  };
  protocol.mEncodeAcknowledged = [] { return HttpResponse(); };
  return protocol;
}

} // namespace apricotyard
