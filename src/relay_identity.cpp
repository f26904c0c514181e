#include "caller_identity.h"
#include "relay_state.h"

namespace apricotyard {

std::optional<KeyDigest>
Relay::State::KeyOf(const RelayedRequest& aRelayed) const
{
  if (aRelayed.mKey) {
    return aRelayed.mKey;
  }
  const std::string_view key = mProtocol.mDecodeKey(aRelayed.mRequest);
  return key.empty() ? std::nullopt : std::optional(DigestKey(key));
}

std::optional<HttpResponse>
Relay::State::Identify(RelayedRequest& aRelayed)
{
  const RoutingTable& table = *aRelayed.mRoutingTable;
  aRelayed.mPriority = aRelayed.mRoute->mPriority;
  if (!HasWorkspaces(table)) {
    return std::nullopt;
  }
  aRelayed.mKey = KeyOf(aRelayed);
  const CallerIdentity identity = IdentifyCaller(
    table, *aRelayed.mRoute, aRelayed.mKey, IsLeaseValid(mDocumentLease, SteadyNow()));
  if (identity.mVerdict != CallerVerdict::Allowed) {
    return MakeIdentityRefusal(aRelayed, identity.mVerdict);
  }
  aRelayed.mWorkspace = identity.mWorkspace != nullptr ? identity.mWorkspace->mName : "";
  aRelayed.mPriority = PriorityOf(identity.mWorkspace, *aRelayed.mRoute);
  return std::nullopt;
}

HttpResponse
Relay::State::MakeIdentityRefusal(const RelayedRequest& aRelayed, CallerVerdict aVerdict)
{
  if (aVerdict == CallerVerdict::NoLease) {
    mMetrics.CountWithoutLease();
    return MakeRefusal(Result::NoLease, "the gateway cannot confirm that its document is in force");
  }
  const std::optional<KeyDigest> key = KeyOf(aRelayed);
  mMetrics.CountRejectedKey();
  LogEvent(Event::KeyRejected,
           { { "request", aRelayed.mId },
             { "route", aRelayed.mRoute->mName },
             { "key", key ? KeyFingerprint(*key) : "" },
             { "version", mRoutingTable->Version() } });
  return ErrorResponse(Result::Unauthorized, "the key is missing or unknown");
}

bool
Relay::State::IsRevoked(const RelayedRequest& aRelayed) const
{
  // The key was looked up in this table when the request arrived.
  if (aRelayed.mRoutingTable == mRoutingTable || !HasWorkspaces(*mRoutingTable)) {
    return false;
  }
  const std::optional<KeyDigest> key = KeyOf(aRelayed);
  if (key && mRoutingTable->FindWorkspace(*key) != nullptr) {
    return false;
  }
  const Route* const route =
    mRoutingTable->Find(aRelayed.mRequest.Header("host"), aRelayed.mRequest.mPath);
  return IsKeyRevoked(*mRoutingTable, route, key);
}

HttpResponse
Relay::State::MakeRevokedRefusal(const RelayedRequest& aRelayed)
{
  return MakeIdentityRefusal(aRelayed,
                             IsLeaseValid(mDocumentLease, SteadyNow()) ? CallerVerdict::UnknownKey
                                                                       : CallerVerdict::NoLease);
}

void
Relay::State::IdentifyToReplica(const RelayedRequest& aRelayed,
                                std::vector<HttpHeader>& aHeaders) const
{
  if (HasWorkspaces(*mRoutingTable)) {
    const std::optional<KeyDigest> key = KeyOf(aRelayed);
    const Workspace* const workspace = key ? mRoutingTable->FindWorkspace(*key) : nullptr;
    ReplaceIdentityHeaders(
      aHeaders, mProtocol.mHeaders, workspace != nullptr ? workspace->mName : std::string_view());
  } else if (HasWorkspaces(*aRelayed.mRoutingTable)) {
    ReplaceIdentityHeaders(aHeaders, mProtocol.mHeaders, aRelayed.mWorkspace);
  }
}

} // namespace apricotyard
