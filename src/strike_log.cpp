#include "strike_log.h"

#include <algorithm>

namespace apricotyard {

bool
IsSameCrash(const Strike& aLeft, const Strike& aRight)
{
  return aLeft.mFingerprint == aRight.mFingerprint && aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mAlone == aRight.mAlone && aLeft.mState == aRight.mState &&
         aLeft.mUpstream == aRight.mUpstream;
}

bool
Append(StrikeLog& aLog, const Strike& aStrike, TimePoint aNow)
{
  while (!aLog.mStrikes.empty() && (aLog.mStrikes.front().mAt + kQuarantineTime <= aNow ||
                                    aLog.mStrikes.size() >= kMaxLoggedStrikes)) {
    aLog.mStrikes.pop_front();
  }
  if (std::any_of(aLog.mStrikes.begin(), aLog.mStrikes.end(), [&aStrike](const auto& aLogged) {
        return IsSameCrash(aLogged.mStrike, aStrike);
      })) {
    return false;
  }
  aLog.mStrikes.push_back({ ++aLog.mLastNumber, aNow, aStrike });
  return true;
}

std::vector<const LoggedStrike*>
StrikesAfter(const StrikeLog& aLog, std::uint64_t aCursor)
{
  std::vector<const LoggedStrike*> strikes;
  for (auto logged = std::upper_bound(aLog.mStrikes.begin(),
                                      aLog.mStrikes.end(),
                                      aCursor,
                                      [](std::uint64_t aNumber, const LoggedStrike&aLogged) {
                                        return aNumber < aLogged.mNumber;
                                      });
       logged != aLog.mStrikes.end() && strikes.size() < kMaxStrikesPerMessage;
       ++logged) {
    strikes.push_back(&*logged);
  }
  return strikes;
}

std::vector<Strike>
StrikesToReport(const StrikeLog& aLog, std::string_view aHost, TimePoint aNow)
{
  std::vector<Strike> strikes;
  for (auto logged = aLog.mStrikes.rbegin();
       logged != aLog.mStrikes.rend() && logged->mAt + kStrikeReportTime > aNow &&
       strikes.size() < kMaxStrikesPerMessage;
       ++logged) {
    if (logged->mStrike.mHost == aHost) {
      strikes.push_back(logged->mStrike);
    }
  }
  return strikes;
}

} // namespace apricotyard
