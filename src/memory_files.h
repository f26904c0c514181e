// In-memory disk with crashes, power losses, I/O errors and a size limit, for tests and randomized
// schedules.
#ifndef APRICOTYARD_MEMORY_FILES_H
#define APRICOTYARD_MEMORY_FILES_H

#include "storage.h"

namespace apricotyard {

// File data and folder entries become durable only by a sync. A power loss keeps or loses unsynced
// data block by block, at random, and loses a random number of the last unsynced folder changes.
// Not thread-safe. Must outlive the FileOps that it returns.
class MemoryDisk
{
public:
  explicit MemoryDisk(std::uint64_t aSeed)
    : mRng(aSeed)
  {
  }
  MemoryDisk(const MemoryDisk&) = delete;
  MemoryDisk& operator=(const MemoryDisk&) = delete;

  // Ends the current process and returns the file operations of a new one. The operations of
  // earlier processes fail from then on.
  FileOps StartProcess();

  // Number of modifying operations so far: create, write, sync, truncate, rename and remove.
  std::uint64_t OperationCount() const { return mOperations; }
  // The aNumber-th modifying operation since the disk was created takes partial effect and fails,
  // and every later operation fails until the process ends. 0 disables this.
  void CrashAt(std::uint64_t aNumber) { mCrashAt = aNumber; }
  // The aNumber-th modifying operation fails with aErrno and has no effect.
  void FailAt(std::uint64_t aNumber, int aErrno);
  // Writes that would take the total size of all files above aBytes are cut short, or fail with
  // ENOSPC if nothing fits.
  void SetCapacity(std::uint64_t aBytes) { mCapacity = aBytes; }
  std::uint64_t UsedBytes() const;

  bool Crashed() const { return mCrashed; }
  // Ends the process. Its writes stay readable, but unsynced ones are not durable.
  void EndProcess();
  // Ends the process and loses a random part of the unsynced data.
  void LosePower();

  // Direct access to the files, for tests that corrupt them. The content of a missing file is
  // empty.
  std::vector<std::string> Names() const;
  std::string Content(const std::string& aPath) const;
  void SetContent(const std::string& aPath, const std::string& aData);
  void Erase(const std::string& aPath);
  // Ends the process and removes all files and folders.
  void Wipe();

private:
  struct File
  {
    std::string mData;
    std::string mDurableData;
    bool mLocked = false;
  };
  using FilePtr = std::shared_ptr<File>;
  // Folder entries that change together. A null file removes the name.
  struct FolderChange
  {
    std::vector<std::pair<std::string, FilePtr>> mNames;
  };
  struct Handle
  {
    FilePtr mFile;
    bool mHoldsLock = false;
  };

  // Counts a modifying operation. Returns 0 or the error that the operation must return. aCrashing
  // is set if the operation must take partial effect and fail.
  int BeginOperation(bool& aCrashing);
  bool CoinFlip() { return (mRng() & 1) != 0; }
  void ApplyChange(FolderChange aChange);
  int Open(const std::string& aPath, int aFlags);
  ssize_t Write(int aFd, std::string_view aData, std::uint64_t aOffset);
  int Sync(int aFd);
  int Rename(const std::string& aFrom, const std::string& aTo);
  int Remove(const std::string& aPath);
  int SyncFolder();
  void LoseUnsyncedData(File& aFile);

  Rng mRng;
  std::map<std::string, FilePtr> mNames;
  std::map<std::string, FilePtr> mDurableNames;
  std::deque<FolderChange> mUnsyncedChanges;
  std::set<std::string> mFolders;
  std::map<int, Handle> mHandles;
  int mNextFd = 3;
  std::uint64_t mProcessNumber = 0;
  std::uint64_t mOperations = 0;
  std::uint64_t mCrashAt = 0;
  std::uint64_t mFailAt = 0;
  int mFailErrno = 0;
  std::uint64_t mCapacity = UINT64_MAX;
  bool mCrashed = false;
};

} // namespace apricotyard

#endif
