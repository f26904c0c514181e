// Identifies the workspace of a caller by its key. Pure functions. The rules and their reasons are
// in docs/design/caller-identity.md.
#ifndef APRICOTYARD_CALLER_IDENTITY_H
#define APRICOTYARD_CALLER_IDENTITY_H

#include "platform_protocol.h"
#include "routing.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// Thread-safe, like the other functions of this file that take no mutable argument.
KeyDigest
DigestKey(std::string_view aKey);

// Names a key in logs, messages and tools without revealing it: the first 8 hexadecimal digits of
// its digest.
std::string
KeyFingerprint(const KeyDigest& aKey);

enum class CallerVerdict : std::uint8_t
{
  Allowed,
  // The route needs a key, and the request has none or an unknown one.
  UnknownKey,
  // The route needs a key, and the document may be too old to judge it.
  NoLease,
};

struct CallerIdentity
{
  CallerVerdict mVerdict = CallerVerdict::Allowed;
  // Null if the verdict is not Allowed, the key is unknown on a public route, or the document has
  // no workspaces. Valid as long as the table.
  const Workspace* mWorkspace = nullptr;
};

// Whether requests need keys.
bool
HasWorkspaces(const RoutingTable& aTable);

// Judges a request of aRoute. aKey is empty if the request has no key. aLeaseValid tells whether
// the table may be used to judge keys. Precondition: aRoute belongs to aTable.
CallerIdentity
IdentifyCaller(const RoutingTable& aTable,
               const Route& aRoute,
               const std::optional<KeyDigest>& aKey,
               bool aLeaseValid);

// Whether the key of a request that was allowed earlier has been revoked in aTable, the table in
// force now. A key that has moved to another workspace is not revoked. aRoute is the route of the
// request in aTable, or null if there is none any more.
bool
IsKeyRevoked(const RoutingTable& aTable, const Route* aRoute, const std::optional<KeyDigest>& aKey);

// Replaces the headers by which a caller identifies itself with the name of its workspace. If
// aWorkspace is empty, no header takes their place.
void
ReplaceIdentityHeaders(std::vector<HttpHeader>& aHeaders,
                       const HeaderNames& aNames,
                       std::string_view aWorkspace);

// The priority of a request: that of its workspace, or of its route if aWorkspace is null or has
// none.
std::uint32_t
PriorityOf(const Workspace* aWorkspace, const Route& aRoute);

} // namespace apricotyard

#endif
