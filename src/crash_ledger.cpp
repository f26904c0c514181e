#include "crash_ledger.h"

#include <algorithm>

namespace apricotyard {

namespace {

bool
Counts(const LedgerStrike& aStrike)
{
  return aStrike.mState != CrashState::Cleared;
}

std::size_t
CountStrikes(const LedgerRequest& aRequest)
{
  return static_cast<std::size_t>(
    std::count_if(aRequest.mStrikes.begin(), aRequest.mStrikes.end(), [](const auto& aEntry) {
      return Counts(aEntry.second);
    }));
}

bool
IsStopped(const LedgerRequest& aRequest)
{
  const auto confirmed =
    std::count_if(aRequest.mStrikes.begin(), aRequest.mStrikes.end(), [](const auto& aEntry) {
      return aEntry.second.mState == CrashState::Confirmed;
    });
  return static_cast<std::size_t>(confirmed) >= kCrashesToStop;
}

const LedgerRequest*
FindRequest(const CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const auto found = aLedger.mRequests.find(aFingerprint);
  return found != aLedger.mRequests.end() ? &found->second : nullptr;
}

// Puts the strikes of aRun that are suspected into aState and returns their requests.
std::vector<Fingerprint>
EndSuspicion(CrashLedger& aLedger, const ReplicaRun& aRun, CrashState aState)
{
  std::vector<Fingerprint> changed;
  for (const Fingerprint fingerprint : aLedger.mCrashes.at(aRun).mFingerprints) {
    const auto request = aLedger.mRequests.find(fingerprint);
    if (request == aLedger.mRequests.end()) {
      continue;
    }
    const auto strike = request->second.mStrikes.find(aRun);
    if (strike != request->second.mStrikes.end() &&
        strike->second.mState == CrashState::Suspected) {
      strike->second.mState = aState;
      changed.push_back(fingerprint);
    }
  }
  return changed;
}

// Nobody needs to know what was cleared before it was passed on. A single loss that proves nothing
// restricts nothing either, and most of them are refuted soon.
bool
IsWorthReporting(const LedgerRequest& aRequest, const LedgerStrike& aStrike)
{
  switch (aStrike.mState) {
    case CrashState::Suspected:
      return CountStrikes(aRequest) >= kCrashesToIsolate;
    case CrashState::Confirmed:
      return true;
    case CrashState::Cleared:
      return aStrike.mShared;
  }
  return false;
}

// Forgets what was cleared before other gateways knew of it.
void
DropUnshared(CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const auto request = aLedger.mRequests.find(aFingerprint);
  if (request == aLedger.mRequests.end()) {
    return;
  }
  std::erase_if(request->second.mStrikes, [](const auto& aEntry) {
    return !Counts(aEntry.second) && !aEntry.second.mShared;
  });
  if (request->second.mStrikes.empty() && request->second.mRunning == 0) {
    aLedger.mRequests.erase(request);
  }
}

LedgerCrash&
FindOrAddCrash(CrashLedger& aLedger, const ReplicaRun& aRun, TimePoint aNow)
{
  return aLedger.mCrashes.try_emplace(aRun, LedgerCrash{ aNow, true, {} }).first->second;
}

// Drops the request whose last strike is the oldest if there are too many.
void
LimitRequests(CrashLedger& aLedger)
{
  if (aLedger.mRequests.size() > kMaxSuspects) {
    aLedger.mRequests.erase(std::min_element(aLedger.mRequests.begin(),
                                             aLedger.mRequests.end(),
                                             [](const auto& aLeft, const auto& aRight) {
                                               return aLeft.second.mLastStrikeAt <
                                                      aRight.second.mLastStrikeAt;
                                             }));
  }
}

} // namespace

bool
SuspectCrash(CrashLedger& aLedger,
             Fingerprint aFingerprint,
             bool aOfContent,
             const ReplicaRun& aRun,
             TimePoint aSentAt,
             TimePoint aNow,
             Duration aReportDelay)
{
  LedgerCrash& crash = FindOrAddCrash(aLedger, aRun, aNow);
  if (crash.mSince < aSentAt) {
    return false;
  }
  LedgerRequest& request = aLedger.mRequests[aFingerprint];
  const LedgerStrike strike{ crash.mSuspected ? CrashState::Suspected : CrashState::Confirmed };
  if (!request.mStrikes.emplace(aRun, strike).second) {
    return false;
  }
  crash.mFingerprints.insert(aFingerprint);
  request.mOfContent = aOfContent;
  request.mLastStrikeAt = aNow;
  // Earlier suspicions are worth reporting now as well.
  for (const auto& [run, earlier] : request.mStrikes) {
    if (!earlier.mShared) {
      aLedger.mReports.push_back({ aNow + aReportDelay, aFingerprint, run });
    }
  }
  LimitRequests(aLedger);
  return true;
}

std::vector<Fingerprint>
ConfirmCrash(CrashLedger& aLedger, const ReplicaRun& aRun, TimePoint aNow)
{
  const auto crash = aLedger.mCrashes.find(aRun);
  if (crash == aLedger.mCrashes.end() || !crash->second.mSuspected) {
    return {};
  }
  crash->second.mSuspected = false;
  std::vector<Fingerprint> changed = EndSuspicion(aLedger, aRun, CrashState::Confirmed);
  for (const Fingerprint fingerprint : changed) {
    aLedger.mReports.push_back({ aNow + kConfirmedReportDelay, fingerprint, aRun });
  }
  return changed;
}

std::vector<Fingerprint>
RecordLife(CrashLedger& aLedger, const ReplicaRun& aRun, TimePoint aSentAt)
{
  const auto crash = aLedger.mCrashes.find(aRun);
  if (crash == aLedger.mCrashes.end() || !crash->second.mSuspected ||
      crash->second.mSince >= aSentAt) {
    return {};
  }
  std::vector<Fingerprint> restricted;
  for (const Fingerprint fingerprint : crash->second.mFingerprints) {
    if (NeedsReplicaForItself(aLedger, fingerprint)) {
      restricted.push_back(fingerprint);
    }
  }
  for (const Fingerprint fingerprint : EndSuspicion(aLedger, aRun, CrashState::Cleared)) {
    DropUnshared(aLedger, fingerprint);
  }
  aLedger.mCrashes.erase(crash);
  return restricted;
}

bool
ClearRequest(CrashLedger& aLedger, Fingerprint aFingerprint, TimePoint aNow)
{
  const auto request = aLedger.mRequests.find(aFingerprint);
  if (request == aLedger.mRequests.end()) {
    return false;
  }
  const bool restricted = CountStrikes(request->second) >= kCrashesToIsolate;
  for (auto& [run, strike] : request->second.mStrikes) {
    if (Counts(strike)) {
      strike.mState = CrashState::Cleared;
      if (strike.mShared) {
        aLedger.mReports.push_back({ aNow, aFingerprint, run });
      }
    }
  }
  DropUnshared(aLedger, aFingerprint);
  return restricted;
}

bool
LearnStrike(CrashLedger& aLedger, const Strike& aStrike, TimePoint aNow)
{
  const ReplicaRun run{ aStrike.mUpstream, aStrike.mIncarnation };
  LedgerRequest& request = aLedger.mRequests[aStrike.mFingerprint];
  const auto [strike, isNew] =
    request.mStrikes.try_emplace(run, LedgerStrike{ aStrike.mState, true });
  strike->second.mShared = true;
  request.mOfContent = aStrike.mOfContent;
  const bool changed = isNew || strike->second.mState < aStrike.mState;
  strike->second.mState = std::max(strike->second.mState, aStrike.mState);
  if (isNew) {
    request.mLastStrikeAt = aNow;
  }
  if (aStrike.mState != CrashState::Cleared) {
    LedgerCrash& crash = FindOrAddCrash(aLedger, run, aNow);
    crash.mFingerprints.insert(aStrike.mFingerprint);
    crash.mSuspected = crash.mSuspected && aStrike.mState == CrashState::Suspected;
  }
  LimitRequests(aLedger);
  return changed;
}

std::vector<ReplicaRun>
OverdueSuspicions(const CrashLedger& aLedger, TimePoint aNow)
{
  std::vector<ReplicaRun> overdue;
  for (const auto& [run, crash] : aLedger.mCrashes) {
    if (crash.mSuspected && crash.mSince + kSuspicionTime <= aNow) {
      overdue.push_back(run);
    }
  }
  return overdue;
}

Permission
Judge(const CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const LedgerRequest* const request = FindRequest(aLedger, aFingerprint);
  const std::size_t strikes = request != nullptr ? CountStrikes(*request) : 0;
  if (strikes < kCrashesToIsolate) {
    return Permission::Unrestricted;
  }
  if (IsStopped(*request)) {
    return Permission::Stopped;
  }
  return strikes >= kCrashesToStop || request->mRunning > 0 ? Permission::Busy : Permission::Alone;
}

bool
NeedsReplicaForItself(const CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const LedgerRequest* const request = FindRequest(aLedger, aFingerprint);
  return request != nullptr && CountStrikes(*request) >= kCrashesToIsolate;
}

TimePoint
LastStrikeAt(const CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const LedgerRequest* const request = FindRequest(aLedger, aFingerprint);
  return request != nullptr ? request->mLastStrikeAt : TimePoint::min();
}

void
BeginIsolatedRun(CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const auto request = aLedger.mRequests.find(aFingerprint);
  if (request != aLedger.mRequests.end()) {
    ++request->second.mRunning;
  }
}

void
EndIsolatedRun(CrashLedger& aLedger, Fingerprint aFingerprint)
{
  const auto request = aLedger.mRequests.find(aFingerprint);
  if (request != aLedger.mRequests.end() && request->second.mRunning > 0) {
    --request->second.mRunning;
  }
}

std::vector<Strike>
TakeReports(CrashLedger& aLedger, TimePoint aNow)
{
  std::vector<Strike> strikes;
  std::deque<CrashLedger::Report> later;
  for (CrashLedger::Report& report : aLedger.mReports) {
    if (report.mDue > aNow) {
      later.push_back(std::move(report));
      continue;
    }
    const auto request = aLedger.mRequests.find(report.mFingerprint);
    if (request == aLedger.mRequests.end()) {
      continue;
    }
    const auto strike = request->second.mStrikes.find(report.mRun);
    if (strike == request->second.mStrikes.end() ||
        !IsWorthReporting(request->second, strike->second)) {
      continue;
    }
    strike->second.mShared = true;
    strikes.push_back({ report.mFingerprint,
                        aLedger.mHost,
                        report.mRun.mUpstream,
                        report.mRun.mIncarnation,
                        false,
                        strike->second.mState,
                        request->second.mOfContent });
  }
  aLedger.mReports = std::move(later);
  return strikes;
}

std::vector<Strike>
RestrictingStrikes(const CrashLedger& aLedger, std::size_t aLimit)
{
  std::vector<Strike> strikes;
  for (const auto& [fingerprint, request] : aLedger.mRequests) {
    if (CountStrikes(request) < kCrashesToIsolate) {
      continue;
    }
    for (const auto& [run, strike] : request.mStrikes) {
      if (Counts(strike) && strikes.size() < aLimit) {
        strikes.push_back(
          { fingerprint, aLedger.mHost, run.mUpstream, run.mIncarnation, false, strike.mState });
      }
    }
  }
  return strikes;
}

std::size_t
CountStopped(const CrashLedger& aLedger)
{
  std::size_t atServices = 0;
  std::size_t everywhere = 0;
  for (const auto& [fingerprint, request] : aLedger.mRequests) {
    if (IsStopped(request)) {
      ++(request.mOfContent ? everywhere : atServices);
    }
  }
  return std::max(atServices, everywhere);
}

void
ExpireLedger(CrashLedger& aLedger, TimePoint aNow)
{
  absl::erase_if(aLedger.mRequests, [aNow](const auto& aEntry) {
    return aEntry.second.mLastStrikeAt + kQuarantineTime <= aNow;
  });
  std::erase_if(aLedger.mCrashes, [aNow](const auto& aEntry) {
    return !aEntry.second.mSuspected && aEntry.second.mSince + kCrashMemory <= aNow;
  });
}

} // namespace apricotyard
