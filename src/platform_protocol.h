// The HTTP interface of a platform: its header names and the encoding of its message bodies.
// Coordinators and gateways use only these types; the platform's adapter fills them in.
#ifndef APRICOTYARD_PLATFORM_PROTOCOL_H
#define APRICOTYARD_PLATFORM_PROTOCOL_H

#include "http_client.h"
#include "http_server.h"
#include "routing.h"
#include "upstream_signals.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// Names of the platform's HTTP headers, in lower case.
struct HeaderNames
{
  // Identifies one attempt of a caller. Upstreams copy it into their reply.
  std::string mRequestId;
  // The time that the receiver may take, in milliseconds.
  std::string mTimeLeft;
  // The upstream that the request is addressed to. Any other upstream rejects the request.
  std::string mExpectedUpstream;
  // The signature of an upstream's reply.
  std::string mSignature;
  // The signatures of the replies merged into one response, separated by commas.
  std::string mPartSignatures;
  // The number of shards that a merged response lacks.
  std::string mMissingParts;
  // Present if the upstream did not run the request.
  std::string mNotRun;
  // Carries the key of the caller. Not forwarded to upstreams if the document has workspaces.
  std::string mKey;
  // The caller's workspace, for upstreams.
  std::string mWorkspace;
};

enum class FleetCallKind : std::uint8_t
{
  Announce,
  Leave,
  OfferDocument,
  ReadDocument,
  FindGateways,
  CheckReady,
  BeginEvacuation,
  EndEvacuation,
  Unknown,
};

// A decoded call to a coordinator or gateway itself, as opposed to a request that is relayed.
struct FleetCall
{
  FleetCallKind mKind = FleetCallKind::Unknown;
  // Announce: all fields are set. Leave: the identifier, and the incarnation or 0 if the call has
  // none.
  UpstreamInfo mUpstream;
  // Announce: how much longer the upstream warms up.
  Duration mWarmupLeft{};
  // FindGateways: the caller's data centre. BeginEvacuation and EndEvacuation: the data centre to
  // which the order applies.
  std::string mDataCentre;
};

struct PlatformProtocol
{
  HeaderNames mHeaders;
  // Returns the caller's key, or nothing if the request carries none. Valid as long as the request.
  std::function<std::string_view(const HttpRequest&)> mDecodeKey = [](const HttpRequest&) {
    return std::string_view();
  };
  // Fails with BadRequest if the call cannot be decoded. Leaves the body of OfferDocument to
  // mDecodeDocument.
  std::function<Expected<FleetCall>(const HttpRequest&)> mDecodeCall;
  // Fails with InvalidDocument if any part of the text cannot be decoded.
  std::function<Expected<RoutingDocument>(std::string_view)> mDecodeDocument;
  // Encodes the response to FindGateways from the gateway addresses and the time for which the
  // caller may cache them.
  std::function<HttpResponse(const std::vector<SocketAddress>&, std::chrono::milliseconds)>
    mEncodeGateways;
  // Encodes the response to Announce and Leave.
  std::function<HttpResponse()> mEncodeAcknowledged;
  // Decodes what an upstream says about itself in a reply. Reports what cannot be read in the
  // result. By default replies say nothing.
  std::function<UpstreamSignals(const ClientReply&)> mDecodeSignals = [](const ClientReply&) {
    return UpstreamSignals();
  };
};

} // namespace apricotyard

#endif
