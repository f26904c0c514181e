// What a platform's interface calls things: the names of its headers and the forms of its bodies.
// The tier decides by these types only; an adapter fills them in.
#ifndef APRICOTYARD_DIALECT_H
#define APRICOTYARD_DIALECT_H

#include "http_server.h"
#include "routing.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// Header names, in lower case.
struct HeaderNames
{
  // Identity of one attempt of a caller; upstreams echo it.
  std::string mRequestId;
  // Milliseconds that the receiver may take.
  std::string mTimeLeft;
  // The upstream that the request is meant for; any other refuses it.
  std::string mExpectedUpstream;
  // Signature of an upstream's answer.
  std::string mSignature;
  // Signatures of the answers that were merged, separated by commas.
  std::string mPartSignatures;
  // Shards that a merged answer lacks.
  std::string mMissingParts;
  // Present if an upstream did not run the request.
  std::string mNotRun;
};

enum class FleetCallKind : std::uint8_t
{
  Announce,
  Leave,
  OfferDocument,
  ReadDocument,
  FindGateways,
  CheckReady,
  Unknown,
};

// A call to the tier itself, decoded.
struct FleetCall
{
  FleetCallKind mKind = FleetCallKind::Unknown;
  // Announce: all of it. Leave: the identifier, and the incarnation if it was told, else 0.
  UpstreamInfo mUpstream;
  // FindGateways: where the caller is.
  std::string mDataCentre;
};

struct Dialect
{
  HeaderNames mHeaders;
  // Fails with BadRequest if the call cannot be read. The body of OfferDocument is read by
  // mDecodeDocument.
  std::function<Expected<FleetCall>(const HttpRequest&)> mDecodeCall;
  // Fails with InvalidDocument if the text cannot be read in full.
  std::function<Expected<RoutingDocument>(std::string_view)> mDecodeDocument;
  // The answer to FindGateways, with how long the caller may keep it.
  std::function<HttpResponse(const std::vector<SocketAddress>&, std::chrono::milliseconds)>
    mEncodeGateways;
  // The answer to Announce and Leave.
  std::function<HttpResponse()> mEncodeAcknowledged;
};

} // namespace apricotyard

#endif
