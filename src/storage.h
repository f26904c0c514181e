// Durable state of a control member in one data folder: identity, vote, log and snapshots.
#ifndef APRICOTYARD_STORAGE_H
#define APRICOTYARD_STORAGE_H

#include "raft.h"

#include <functional>
#include <memory>
#include <span>

#include <sys/types.h>

namespace apricotyard {

// File operations, so that tests can make each one fail or crash. Each returns a negative errno on
// failure.
struct FileOps
{
  // Returns a descriptor. aFlags are those of open(2).
  std::function<int(const std::string& aPath, int aFlags)> mOpen;
  std::function<ssize_t(int aFd, std::string_view aData, std::uint64_t aOffset)> mWrite;
  std::function<ssize_t(int aFd, char* aData, std::size_t aSize, std::uint64_t aOffset)> mRead;
  std::function<int(int aFd)> mSync;
  std::function<int(int aFd, std::uint64_t aSize)> mTruncate;
  std::function<int(int aFd)> mClose;
  // Takes an exclusive lock without waiting.
  std::function<int(int aFd)> mLock;
  std::function<int(const std::string& aFrom, const std::string& aTo)> mRename;
  std::function<int(const std::string& aPath)> mRemove;
  std::function<int(const std::string& aPath)> mMakeFolder;
  std::function<int(const std::string& aPath)> mSyncFolder;
  // Appends the names of the files in the folder.
  std::function<int(const std::string& aPath, std::vector<std::string>& aNames)> mList;
};

// The operations of the operating system.
FileOps
SystemFileOps();

// Owned by one thread. Errors of the changing calls: DiskFull, after which the same call may be
// repeated, and StorageFailed, after which every call fails: a failed sync is not retried, because
// the kernel may have dropped the data that it could not write.
class Storage
{
public:
  // Opens the folder, or creates it with a new identity "aName.NONCE". aNonce must differ between
  // disks. Errors: StorageLocked, StorageFormat, StorageCorrupt (names file and offset),
  // StorageFailed, DiskFull.
  static Expected<std::unique_ptr<Storage>> Open(FileOps aOps,
                                                 const std::string& aFolder,
                                                 const std::string& aName,
                                                 std::uint64_t aNonce);
  ~Storage();
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;

  const std::string& Identity() const { return mIdentity; }
  const std::string& Folder() const { return mFolder; }
  // What was read at the start. Call each once.
  RaftStart TakeStart() { return std::move(mStart); }
  std::string TakeSnapshotData() { return std::move(mSnapshotData); }
  // Bytes that were cut from the end of the log at the start.
  std::uint64_t CutBytes() const { return mCutBytes; }

  // Each returns after the data and the folder are synced.
  Expected<void> SaveVote(const VoteState& aVote);
  // The entries are contiguous. The first one replaces those at its index and above.
  Expected<void> Append(std::span<const LogEntry> aEntries);
  // Replaces the older snapshot, drops log files that are no longer needed and, unless aKeepLog,
  // all entries.
  Expected<void> SaveSnapshot(const SnapshotMeta& aMeta, std::string_view aData, bool aKeepLog);
  // Gives the member a new identity, which is that of an empty disk plus this data.
  Expected<void> ReplaceIdentity(const std::string& aIdentity);

  // Reads a part of the newest snapshot's state.
  Expected<std::string> ReadSnapshot(std::uint64_t aOffset, std::size_t aSize) const;

private:
  struct Segment
  {
    std::uint64_t mNumber = 0;
    std::uint64_t mMaxIndex = 0;
  };

  Storage() = default;

  std::string Path(const std::string& aName) const { return mFolder + "/" + aName; }
  Expected<void> Check(const std::string& aWhat, const std::string& aName, ssize_t aResult);
  Expected<void> CheckUsable() const;
  Expected<void> WriteAll(int aFd,
                          const std::string& aName,
                          std::string_view aData,
                          std::uint64_t aOffset);
  Expected<std::string> ReadWhole(const std::string& aName) const;
  Expected<void> Replace(const std::string& aName, std::string_view aData);
  Expected<void> TakeLock();
  Expected<void> Initialise(const std::vector<std::string>& aNames,
                            const std::string& aName,
                            std::uint64_t aNonce);
  Expected<void> Load(const std::vector<std::string>& aNames);
  Expected<void> LoadSnapshot(const std::vector<std::string>& aNames);
  Expected<void> LoadSegment(std::uint64_t aNumber, bool aLast);
  Expected<void> ReadFrame(std::string_view aPayload,
                           const std::string& aFile,
                           std::size_t aOffset);
  Expected<void> FitLogToSnapshot();
  Expected<void> OpenSegment(std::uint64_t aNumber);
  Expected<void> AppendFrame(std::string_view aPayload);
  Expected<void> AppendReset(std::uint64_t aIndex, std::uint64_t aTerm);
  void DropOldFiles();

  FileOps mOps;
  std::string mFolder;
  std::string mIdentity;
  int mLockFd = -1;
  int mLogFd = -1;
  std::uint64_t mLogSize = 0;
  std::deque<Segment> mSegments;
  SnapshotMeta mSnapshot;
  std::uint64_t mSnapshotStart = 0;
  bool mFailed = false;
  std::uint64_t mCutBytes = 0;
  RaftStart mStart;
  std::string mSnapshotData;
};

} // namespace apricotyard

#endif
