// Keeps an entry host in contact with the control hosts: leases, configuration, roster, claims. All
// calls are asynchronous, so the loop never waits.
#ifndef APRICOTYARD_CONTROL_CLIENT_H
#define APRICOTYARD_CONTROL_CLIENT_H

#include "authority.h"
#include "config.h"
#include "control.pb.h"
#include "loop.h"
#include "rpc_credentials.h"

#include <functional>
#include <memory>

#include <grpcpp/impl/service_type.h>

namespace apricotyard {

struct HostIdentity
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  SocketAddress mAddress;
  // Where other entry hosts reach this one; port 0 if it has no peer service.
  SocketAddress mPeerAddress;
  RpcSecurity mSecurity;
};

struct ConfigUpdate
{
  Revision mRevision = 0;
  std::string mDocument;
  // mDocument parsed, with its revision.
  Config mConfig;
};

// What control last said besides the configuration.
struct ControlView
{
  rpc::Roster mSettled;
  // Epoch 0 if no epoch is pending. While one is, a host uses only the intersection of its shares.
  rpc::Roster mPending;
  std::uint64_t mClaimEpoch = 0;
  // until_ms is the remaining time at mListsAt.
  std::vector<rpc::Quarantine> mQuarantines;
  std::vector<std::string> mDrains;
  TimePoint mListsAt;
};

// All methods only on the loop's thread.
class ControlClient
{
public:
  using ConfigHandler = std::function<void(const ConfigUpdate&)>;
  using ClaimHandler = std::function<void(const rpc::ClaimReply&)>;

  // aOnConfig runs on the loop whenever the host begins to run a newer configuration.
  ControlClient(Loop& aLoop,
                HostIdentity aIdentity,
                const std::vector<SocketAddress>& aControl,
                ConfigHandler aOnConfig);
  // Cancels the calls under way and waits until they have ended.
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // False if the host must refuse queries with NotCurrent.
  bool MayServe() const;
  const ControlView& View() const;
  // Called after View changed.
  void OnView(std::function<void()> aHandler);

  // Claims aKey for one submission at this host. aClaimId is unique per submission in this
  // incarnation. Repeats the call at other members until aDeadline. Anything but Ok means that the
  // submission must not be sent; ControlUnavailable means that no answer arrived in time.
  void Claim(const std::string& aKey,
             std::uint64_t aFingerprint,
             std::uint64_t aClaimId,
             TimePoint aDeadline,
             ClaimHandler aDone);
  // Records the outcome of a claimed submission; aBody of at most 4 KiB is kept.
  void RecordOutcome(const std::string& aKey,
                     std::uint64_t aClaimId,
                     Result aResult,
                     std::string aBody,
                     TimePoint aDeadline,
                     ClaimHandler aDone);
  // Asks control to quarantine a fingerprint for aFor.
  void ReportQuarantine(const std::string& aCollection,
                        std::uint64_t aFingerprint,
                        std::uint32_t aStrikes,
                        Duration aFor,
                        TimePoint aDeadline);

  // The service that answers the witness questions of other entry hosts; to be registered with the
  // server that listens on mPeerAddress, and destroyed after that server and before this object.
  std::unique_ptr<grpc::Service> MakeWitnessService();

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
