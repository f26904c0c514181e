#include "record_cursor.h"

namespace apricotyard {

void
UpdateRecordCursor(RecordCursor& aState, std::uint64_t aCursor, bool aComplete, TimePoint aNow)
{
  if (aComplete && aState.mRecentAt + kSettleTime <= aNow) {
    aState.mSettled = aState.mRecent;
    aState.mRecent = aCursor;
    aState.mRecentAt = aNow;
  }
}

} // namespace apricotyard
