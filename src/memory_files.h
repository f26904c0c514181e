// File operations on a disk in memory that can crash, lose power, fail and fill up, for tests and
// schedules.
#ifndef APRICOTYARD_MEMORY_FILES_H
#define APRICOTYARD_MEMORY_FILES_H

#include "storage.h"

namespace apricotyard {

// Data and folder entries become durable by a sync only. A power loss keeps any part of what was
// not synced, block by block; folder changes keep their order. Not thread-safe. Must outlive the
// operations that it hands out.
class MemoryDisk
{
public:
  explicit MemoryDisk(std::uint64_t aSeed)
    : mRng(aSeed)
  {
  }
  MemoryDisk(const MemoryDisk&) = delete;
  MemoryDisk& operator=(const MemoryDisk&) = delete;

  // Operations of a new process. Those of an earlier process fail from now on.
  FileOps Ops();

  // The number of changing operations so far: creation, write, sync, truncation, rename, removal.
  std::uint64_t Operations() const { return mOperations; }
  // The aNumber-th changing operation, counted from the start, has a part of its effect and fails,
  // and so does every operation after it. 0 switches this off.
  void CrashAt(std::uint64_t aNumber) { mCrashAt = aNumber; }
  // The aNumber-th changing operation fails with aErrno and has no effect.
  void FailAt(std::uint64_t aNumber, int aErrno);
  // Writes fail with ENOSPC when the files would exceed this size together.
  void SetCapacity(std::uint64_t aBytes) { mCapacity = aBytes; }
  std::uint64_t Used() const;

  bool Crashed() const { return mCrashed; }
  // Ends the process; what it wrote stays readable but is not durable yet.
  void EndProcess();
  // Ends the process and drops any part of what is not synced.
  void LosePower();

  // For tests that damage files: the content, empty if there is no such file.
  std::vector<std::string> Names() const;
  std::string Content(const std::string& aPath) const;
  void SetContent(const std::string& aPath, const std::string& aData);
  void Erase(const std::string& aPath);
  // Replaces the disk by an empty one.
  void Wipe();

private:
  struct File
  {
    std::string mData;
    std::string mDurable;
    bool mLocked = false;
  };
  using FilePtr = std::shared_ptr<File>;
  // Sets a name to a file, or removes the name if the file is null.
  struct FolderChange
  {
    std::vector<std::pair<std::string, FilePtr>> mNames;
  };
  struct Handle
  {
    FilePtr mFile;
    bool mLocks = false;
  };

  // 0, or the error that the operation must return. aCrashing tells that it has a partial effect.
  int Begin(bool& aCrashing);
  bool Coin() { return (mRng() & 1) != 0; }
  void Change(FolderChange aChange);
  int Open(const std::string& aPath, int aFlags);
  ssize_t Write(int aFd, std::string_view aData, std::uint64_t aOffset);
  int Sync(int aFd);
  int Rename(const std::string& aFrom, const std::string& aTo);
  int Remove(const std::string& aPath);
  int SyncFolder();
  void LoseUnsynced(File& aFile);

  Rng mRng;
  std::map<std::string, FilePtr> mNames;
  std::map<std::string, FilePtr> mDurableNames;
  std::deque<FolderChange> mChanges;
  std::set<std::string> mFolders;
  std::map<int, Handle> mHandles;
  int mNextFd = 3;
  std::uint64_t mProcess = 0;
  std::uint64_t mOperations = 0;
  std::uint64_t mCrashAt = 0;
  std::uint64_t mFailAt = 0;
  int mFailErrno = 0;
  std::uint64_t mCapacity = UINT64_MAX;
  bool mCrashed = false;
};

} // namespace apricotyard

#endif
