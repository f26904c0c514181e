// The client that an entry host uses to talk to the control hosts: it renews the lease, receives
// the configuration and the roster and makes claims. All calls are asynchronous, so the event loop
// is never blocked.
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
  // Address at which other entry hosts reach this one; port 0 if it does not serve them.
  SocketAddress mPeerAddress;
  RpcSecurity mSecurity;
};

struct ConfigUpdate
{
  Revision mRevision = 0;
  std::string mDocument;
  // The parsed mDocument, with its revision set.
  Config mConfig;
};

// The latest state received from the leader of the control hosts, except for the configuration.
struct ControlView
{
  rpc::Roster mSettled;
  // Epoch 0 if no roster is pending. While one is, a host may use only the slots that it owns in
  // both rosters.
  rpc::Roster mPending;
  std::uint64_t mClaimEpoch = 0;
  // until_ms is the time left at mListsAt.
  std::vector<rpc::Quarantine> mQuarantines;
  // Names of the drained upstreams.
  std::vector<std::string> mDrains;
  // When the two lists were received.
  TimePoint mListsAt;
};

// All methods must be called on the thread of the loop. All callbacks run on it.
class ControlClient
{
public:
  using ConfigHandler = std::function<void(const ConfigUpdate&)>;
  using ClaimHandler = std::function<void(const rpc::ClaimReply&)>;

  // aControlAddresses lists the addresses of the control service of all control hosts and must not
  // be empty. aOnConfig is called whenever the host adopts a newer configuration.
  ControlClient(Loop& aLoop,
                HostIdentity aIdentity,
                const std::vector<SocketAddress>& aControlAddresses,
                ConfigHandler aOnConfig);
  // Cancels the calls in flight and blocks until they have ended. Their callbacks are not run.
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // True while the host runs a revision and holds a lease. Otherwise it must refuse queries with
  // NotCurrent.
  bool MayServe() const;
  const ControlView& View() const;
  // Sets the handler that is called after each successful sync, when View may have changed.
  void OnViewChanged(std::function<void()> aHandler);

  // Claims aKey for one submission at this host. aClaimId must be unique per submission within this
  // incarnation. Retries at the other control hosts until aDeadline. Unless the result is Ok, the
  // submission must not be sent. ControlUnavailable means that no answer arrived before aDeadline.
  void Claim(const std::string& aKey,
             std::uint64_t aFingerprint,
             std::uint64_t aClaimId,
             TimePoint aDeadline,
             ClaimHandler aDone);
  // Records the outcome of a claimed submission, with retries until aDeadline. A body of more than
  // 4 KiB is not stored.
  void RecordOutcome(const std::string& aKey,
                     std::uint64_t aClaimId,
                     Result aResult,
                     std::string aBody,
                     TimePoint aDeadline,
                     ClaimHandler aDone);
  // Asks the control hosts to quarantine a fingerprint for aDuration. Retries until
  // aDeadline and does not report the result.
  void ReportQuarantine(const std::string& aCollection,
                        std::uint64_t aFingerprint,
                        std::uint32_t aStrikes,
                        Duration aDuration,
                        TimePoint aDeadline);

  // Creates the service that answers the witness questions of other entry hosts. Register it with
  // the server that listens on HostIdentity::mPeerAddress. It must be destroyed after that server
  // and before this object.
  std::unique_ptr<grpc::Service> MakeWitnessService();

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
