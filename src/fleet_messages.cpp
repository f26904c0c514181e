#include "fleet_messages.h"

#include "settings.h"

#include <algorithm>
#include <array>
#include <optional>

namespace apricotyard {

rpc::FleetHost
ToMessage(const FleetHost& aHost)
{
  rpc::FleetHost message;
  message.set_name(aHost.mName);
  message.set_data_centre(aHost.mDataCentre);
  message.set_incarnation(aHost.mIncarnation);
  message.set_coordinator(aHost.mRole == FleetRole::Coordinator);
  message.set_ip(aHost.mIp);
  message.set_public_address(FormatSocketAddress(aHost.mPublicAddress));
  message.set_serving(aHost.mServing);
  message.set_pause_ms(static_cast<std::uint32_t>(aHost.mPause / std::chrono::milliseconds(1)));
  message.set_load(aHost.mLoad);
  message.set_ready(aHost.mReady);
  message.set_avoid_callers(aHost.mAvoidCallers);
  message.set_quota_shares_given_up(aHost.mQuotaSharesGivenUp);
  return message;
}

Expected<FleetHost>
FromMessage(const rpc::FleetHost& aMessage)
{
  const auto address = ParseSocketAddress(aMessage.public_address());
  if (!address || aMessage.ip().empty()) {
    return Fail(Result::BadRequest, "the host lacks an IP address or a valid public address");
  }
  FleetHost host;
  host.mName = aMessage.name();
  host.mDataCentre = aMessage.data_centre();
  host.mIncarnation = aMessage.incarnation();
  host.mRole = aMessage.coordinator() ? FleetRole::Coordinator : FleetRole::Gateway;
  host.mIp = aMessage.ip();
  host.mPublicAddress = *address;
  host.mServing = aMessage.serving();
  host.mPause = std::chrono::milliseconds(aMessage.pause_ms());
  host.mLoad = std::max(aMessage.load(), 0.0);
  host.mReady = aMessage.ready();
  host.mAvoidCallers = aMessage.avoid_callers();
  host.mQuotaSharesGivenUp = aMessage.quota_shares_given_up();
  return host;
}

namespace {

// Numbers of the states on the wire, by CrashState.
constexpr std::array<std::uint32_t, 3> kStateNumbers{ 1, 0, 2 };

std::uint32_t
ToNumber(CrashState aState)
{
  return kStateNumbers[static_cast<std::size_t>(aState)];
}

std::optional<CrashState>
StateOfNumber(std::uint32_t aNumber)
{
  const auto found = std::find(kStateNumbers.begin(), kStateNumbers.end(), aNumber);
  return found != kStateNumbers.end()
           ? std::optional(static_cast<CrashState>(found - kStateNumbers.begin()))
           : std::nullopt;
}

} // namespace

void
ToMessage(const Strike& aStrike, rpc::UpstreamCrash& aOut)
{
  aOut.set_fingerprint(aStrike.mFingerprint);
  aOut.set_host(aStrike.mHost);
  aOut.set_upstream(aStrike.mUpstream);
  aOut.set_incarnation(aStrike.mIncarnation);
  aOut.set_alone(aStrike.mAlone);
  aOut.set_state(ToNumber(aStrike.mState));
  aOut.set_of_content(aStrike.mOfContent);
}

Expected<Strike>
FromMessage(const rpc::UpstreamCrash& aMessage)
{
  constexpr std::size_t kMaxNameLength = 256;
  if (aMessage.host().empty() || aMessage.upstream().empty() ||
      aMessage.host().size() > kMaxNameLength || aMessage.upstream().size() > kMaxNameLength) {
    return Fail(Result::BadRequest, "the crash lacks a host or an upstream, or a name is too long");
  }
  const auto state = StateOfNumber(aMessage.state());
  if (!state) {
    return Fail(Result::BadRequest, "the state of the crash is unknown");
  }
  return Strike{ aMessage.fingerprint(), aMessage.host(),  aMessage.upstream(),
                 aMessage.incarnation(), aMessage.alone(), *state,
                 aMessage.of_content() };
}

EvacuationReport
EvacuationsOf(const rpc::FleetSyncReply& aReply)
{
  const auto& evacuated = aReply.evacuated();
  const auto& uncommitted = aReply.uncommitted_evacuations();
  return { { aReply.evacuation_revision(), { evacuated.begin(), evacuated.end() } },
           { uncommitted.begin(), uncommitted.end() },
           aReply.current() };
}

DocumentIdentity
DocumentOf(const rpc::FleetSyncRequest& aRequest)
{
  return { aRequest.document_version(),
           !aRequest.document_uncommitted(),
           aRequest.document_digest() };
}

DocumentIdentity
DocumentOf(const rpc::FleetSyncReply& aReply)
{
  return { aReply.document_version(), !aReply.document_uncommitted(), aReply.document_digest() };
}

} // namespace apricotyard
