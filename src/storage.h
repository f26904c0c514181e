// Durable state of a Raft member in one data folder: identity, vote, log and snapshots.
#ifndef APRICOTYARD_STORAGE_H
#define APRICOTYARD_STORAGE_H

#include "raft.h"

#include <functional>
#include <memory>
#include <span>

#include <sys/types.h>

namespace apricotyard {

// File operations, which tests replace to inject faults and crashes. Each returns a negative errno
// on failure.
struct FileOps
{
  // Returns a file descriptor. aFlags are those of open(2).
  std::function<int(const std::string& aPath, int aFlags)> mOpen;
  std::function<ssize_t(int aFd, std::string_view aData, std::uint64_t aOffset)> mWrite;
  std::function<ssize_t(int aFd, char* aData, std::size_t aSize, std::uint64_t aOffset)> mRead;
  std::function<int(int aFd)> mSync;
  std::function<int(int aFd, std::uint64_t aSize)> mTruncate;
  std::function<int(int aFd)> mClose;
  // Takes an exclusive lock without waiting; fails with EWOULDBLOCK if it is held.
  std::function<int(int aFd)> mLock;
  std::function<int(const std::string& aFrom, const std::string& aTo)> mRename;
  std::function<int(const std::string& aPath)> mRemove;
  std::function<int(const std::string& aPath)> mMakeFolder;
  std::function<int(const std::string& aPath)> mSyncFolder;
  // Appends the names of the files in the folder to aNames.
  std::function<int(const std::string& aPath, std::vector<std::string>& aNames)> mList;
};

// File operations of the operating system.
FileOps
SystemFileOps();

// Not thread-safe. The methods that change files fail with DiskFull, after which the same call may
// be repeated, or with StorageFailed, after which every call that changes files fails. A failed
// sync is never retried, because the kernel may have discarded the data that it could not write.
class Storage
{
public:
  // Opens the folder, or creates it with the new identity "aName.NONCE". aNonce must be different
  // for each disk. Errors: StorageLocked, StorageFormat, StorageCorrupt (with file and offset),
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
  // State recovered by Open. Call each of the two at most once.
  RaftInitialState TakeInitialState() { return std::move(mInitialState); }
  std::string TakeSnapshotData() { return std::move(mSnapshotData); }
  // Bytes of an incomplete last record that Open removed from the log.
  std::uint64_t TruncatedBytes() const { return mTruncatedBytes; }

  // The methods below return after the data and the folder are synced.
  Expected<void> SaveVote(const VoteState& aVote);
  // Precondition: the entries are contiguous. They replace any stored entries from their first
  // index on.
  Expected<void> Append(std::span<const LogEntry> aEntries);
  // Replaces the older snapshot, removes log files that are no longer needed and, unless aKeepLog,
  // discards all log entries.
  Expected<void> SaveSnapshot(const SnapshotMeta& aMeta, std::string_view aData, bool aKeepLog);
  // Replaces the identity and keeps all other data. To other members this is a new member.
  Expected<void> ReplaceIdentity(const std::string& aIdentity);

  // Reads up to aSize bytes of the newest snapshot's data from aOffset on.
  Expected<std::string> ReadSnapshot(std::uint64_t aOffset, std::size_t aSize) const;

private:
  struct Segment
  {
    std::uint64_t mNumber = 0;
    std::uint64_t mMaxIndex = 0;
  };

  Storage() = default;

  std::string Path(const std::string& aName) const { return mFolder + "/" + aName; }
  Expected<void> CheckResult(const std::string& aWhat, const std::string& aName, ssize_t aResult);
  Expected<void> CheckUsable() const;
  Expected<void> WriteAll(int aFd,
                          const std::string& aName,
                          std::string_view aData,
                          std::uint64_t aOffset);
  Expected<std::string> ReadFile(const std::string& aName) const;
  Expected<void> ReplaceFile(const std::string& aName, std::string_view aData);
  Expected<void> AcquireLock();
  Expected<void> Initialise(const std::vector<std::string>& aNames,
                            const std::string& aName,
                            std::uint64_t aNonce);
  Expected<void> Load(const std::vector<std::string>& aNames);
  Expected<void> LoadSnapshot(const std::vector<std::string>& aNames);
  Expected<void> LoadSegment(std::uint64_t aNumber, bool aLast);
  Expected<void> ParseFrame(std::string_view aPayload,
                            const std::string& aFile,
                            std::size_t aOffset);
  Expected<void> ReconcileLogWithSnapshot();
  Expected<void> OpenSegment(std::uint64_t aNumber);
  Expected<void> AppendFrame(std::string_view aPayload);
  Expected<void> AppendReset(std::uint64_t aIndex, std::uint64_t aTerm);
  void RemoveObsoleteFiles();

  FileOps mOps;
  std::string mFolder;
  std::string mIdentity;
  int mLockFd = -1;
  int mLogFd = -1;
  std::uint64_t mLogSize = 0;
  std::deque<Segment> mSegments;
  SnapshotMeta mSnapshot;
  std::uint64_t mSnapshotDataOffset = 0;
  bool mFailed = false;
  std::uint64_t mTruncatedBytes = 0;
  RaftInitialState mInitialState;
  std::string mSnapshotData;
};

} // namespace apricotyard

#endif
