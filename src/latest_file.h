// Keeps the newest version of a small file that may be lost: a hint for the next start. Written on
// its own thread, so that a slow disk delays nobody.
#ifndef APRICOTYARD_LATEST_FILE_H
#define APRICOTYARD_LATEST_FILE_H

#include <string>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace apricotyard {

class LatestFile
{
public:
  // Precondition: the folder of aPath exists when the first version is written.
  explicit LatestFile(std::string aPath);
  // Waits for the version that is being written; a later one is dropped.
  ~LatestFile();
  LatestFile(const LatestFile&) = delete;
  LatestFile& operator=(const LatestFile&) = delete;

  // Replaces the file soon. A version that was not written yet is dropped. Thread-safe.
  void Save(std::string aData);
  // The content of a file; empty if there is none or it cannot be read. Thread-safe.
  static std::string Load(const std::string& aPath);

private:
  void Main();
  bool Write(const std::string& aData) const;

  const std::string mPath;
  absl::Mutex mMutex;
  std::string mNext ABSL_GUARDED_BY(mMutex);
  bool mPending ABSL_GUARDED_BY(mMutex) = false;
  bool mStopping ABSL_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace apricotyard

#endif
