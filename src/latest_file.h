// A small file that holds the latest state for the next start. It is written on a thread of its
// own, so that a slow disk does not block the caller.
#ifndef APRICOTYARD_LATEST_FILE_H
#define APRICOTYARD_LATEST_FILE_H

#include <functional>
#include <string>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace apricotyard {

class LatestFile
{
public:
  // Precondition: the folder of aPath exists by the first call of Save.
  explicit LatestFile(std::string aPath);
  // Waits for a write in progress. Content that is still pending is discarded.
  ~LatestFile();
  LatestFile(const LatestFile&) = delete;
  LatestFile& operator=(const LatestFile&) = delete;

  // Replaces the content of the file asynchronously. Pending content that was not yet written is
  // discarded, together with its aOnWritten. Calls aOnWritten, if there is one, on the thread of
  // this object after the write, and says whether the content is in the file and synced. Write
  // errors are logged. Thread-safe.
  void Save(std::string aData, std::function<void(bool)> aOnWritten = {});
  // Returns the content of a file, or an empty string if it is missing or cannot be read.
  // Thread-safe.
  static std::string Load(const std::string& aPath);

private:
  void ThreadMain();
  bool Write(const std::string& aData) const;

  const std::string mPath;
  absl::Mutex mMutex;
  std::string mPendingData ABSL_GUARDED_BY(mMutex);
  std::function<void(bool)> mOnPendingWritten ABSL_GUARDED_BY(mMutex);
  bool mHasPending ABSL_GUARDED_BY(mMutex) = false;
  bool mStopping ABSL_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace apricotyard

#endif
