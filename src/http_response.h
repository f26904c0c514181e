// Text of HTTP responses. Pure functions.
#ifndef APRICOTYARD_HTTP_RESPONSE_H
#define APRICOTYARD_HTTP_RESPONSE_H

#include "http_server.h"

namespace apricotyard {

struct ResponseFraming
{
  // Announces that the connection ends with this response.
  bool mClose = false;
  // The request's method is HEAD: the body is left out, but its length is given.
  bool mHeadOnly = false;
  // Value of the Date header, unless the response has its own.
  std::string_view mDate;
};

// Whether aStatus may stand in the status line of a final response. Thread-safe.
bool
IsFinalStatus(int aStatus);

// Returns true if a Connection header of aResponse contains "close". Thread-safe.
bool
AsksForClose(const HttpResponse& aResponse);

// Returns the response as sent on the wire. Its length is always given, so headers of aResponse
// that frame the body are left out. Preconditions: IsFinalStatus(aResponse.mStatus); no header
// contains a line break. Thread-safe.
std::string
SerializeResponse(const HttpResponse& aResponse, const ResponseFraming& aFraming);

} // namespace apricotyard

#endif
