#include "memory_files.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <fcntl.h>

namespace apricotyard {

namespace {

// A power loss keeps or loses unsynced data in blocks of this size, that of a disk sector.
constexpr std::size_t kSectorBytes = 512;

} // namespace

int
MemoryDisk::BeginOperation(bool& aCrashing)
{
  aCrashing = false;
  if (mCrashed) {
    return -EIO;
  }
  ++mOperations;
  if (mOperations == mFailAt) {
    return -mFailErrno;
  }
  if (mOperations == mCrashAt) {
    mCrashed = true;
    aCrashing = true;
  }
  return 0;
}

void
MemoryDisk::FailAt(std::uint64_t aNumber, int aErrno)
{
  mFailAt = aNumber;
  mFailErrno = aErrno;
}

std::uint64_t
MemoryDisk::UsedBytes() const
{
  std::uint64_t used = 0;
  for (const auto& [name, file] : mNames) {
    used += file->mData.size();
  }
  return used;
}

void
MemoryDisk::ApplyChange(FolderChange aChange)
{
  for (const auto& [name, file] : aChange.mNames) {
    if (file == nullptr) {
      mNames.erase(name);
    } else {
      mNames[name] = file;
    }
  }
  mUnsyncedChanges.push_back(std::move(aChange));
}

int
MemoryDisk::Open(const std::string& aPath, int aFlags)
{
  if (mCrashed) {
    return -EIO;
  }
  auto found = mNames.find(aPath);
  if (found == mNames.end() || (aFlags & O_TRUNC) != 0) {
    if ((aFlags & O_CREAT) == 0) {
      return -ENOENT;
    }
    bool crashing = false;
    if (const int failed = BeginOperation(crashing); failed < 0) {
      return failed;
    }
    if (!crashing || CoinFlip()) {
      if (found == mNames.end()) {
        ApplyChange({ { { aPath, std::make_shared<File>() } } });
      } else {
        found->second->mData.clear();
      }
    }
    if (crashing) {
      return -EIO;
    }
    found = mNames.find(aPath);
  }
  mHandles[mNextFd] = { found->second };
  return mNextFd++;
}

ssize_t
MemoryDisk::Write(int aFd, std::string_view aData, std::uint64_t aOffset)
{
  bool crashing = false;
  if (const int failed = BeginOperation(crashing); failed < 0) {
    return failed;
  }
  std::string& data = mHandles.at(aFd).mFile->mData;
  std::size_t size = aData.size();
  if (crashing) {
    size = mRng() % (size + 1);
  }
  const std::uint64_t used = UsedBytes();
  const std::uint64_t grown = aOffset + size > data.size() ? aOffset + size - data.size() : 0;
  if (used + grown > mCapacity) {
    const std::uint64_t missing = used + grown - mCapacity;
    if (missing >= size) {
      return crashing ? -EIO : -ENOSPC;
    }
    size -= missing;
  }
  if (data.size() < aOffset + size) {
    data.resize(aOffset + size);
  }
  std::memcpy(data.data() + aOffset, aData.data(), size);
  return crashing ? -EIO : static_cast<ssize_t>(size);
}

int
MemoryDisk::Sync(int aFd)
{
  bool crashing = false;
  if (const int failed = BeginOperation(crashing); failed < 0) {
    return failed;
  }
  File& file = *mHandles.at(aFd).mFile;
  if (!crashing || CoinFlip()) {
    file.mDurableData = file.mData;
  }
  return crashing ? -EIO : 0;
}

int
MemoryDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  bool crashing = false;
  if (const int failed = BeginOperation(crashing); failed < 0) {
    return failed;
  }
  if (!crashing || CoinFlip()) {
    ApplyChange({ { { aTo, mNames.at(aFrom) }, { aFrom, nullptr } } });
  }
  return crashing ? -EIO : 0;
}

int
MemoryDisk::Remove(const std::string& aPath)
{
  bool crashing = false;
  if (const int failed = BeginOperation(crashing); failed < 0) {
    return failed;
  }
  if (!mNames.contains(aPath)) {
    return -ENOENT;
  }
  if (!crashing || CoinFlip()) {
    ApplyChange({ { { aPath, nullptr } } });
  }
  return crashing ? -EIO : 0;
}

int
MemoryDisk::SyncFolder()
{
  bool crashing = false;
  if (const int failed = BeginOperation(crashing); failed < 0) {
    return failed;
  }
  if (!crashing || CoinFlip()) {
    mDurableNames = mNames;
    mUnsyncedChanges.clear();
  }
  return crashing ? -EIO : 0;
}

FileOps
MemoryDisk::StartProcess()
{
  EndProcess();
  const std::uint64_t process = mProcessNumber;
  const auto alive = [this, process] { return process == mProcessNumber; };
  FileOps ops;
  ops.mOpen = [this, alive](const std::string& aPath, int aFlags) {
    return alive() ? Open(aPath, aFlags) : -EIO;
  };
  ops.mWrite = [this, alive](int aFd, std::string_view aData, std::uint64_t aOffset) -> ssize_t {
    return alive() ? Write(aFd, aData, aOffset) : -EIO;
  };
  ops.mRead = [this,
               alive](int aFd, char* aData, std::size_t aSize, std::uint64_t aOffset) -> ssize_t {
    if (!alive() || mCrashed) {
      return -EIO;
    }
    const std::string& data = mHandles.at(aFd).mFile->mData;
    const std::size_t size = aOffset >= data.size() ? 0 : std::min(aSize, data.size() - aOffset);
    return static_cast<ssize_t>(aOffset < data.size() ? data.copy(aData, size, aOffset) : 0);
  };
  ops.mSync = [this, alive](int aFd) { return alive() ? Sync(aFd) : -EIO; };
  ops.mTruncate = [this, alive](int aFd, std::uint64_t aSize) {
    bool crashing = false;
    if (!alive()) {
      return -EIO;
    }
    if (const int failed = BeginOperation(crashing); failed < 0) {
      return failed;
    }
    if (!crashing || CoinFlip()) {
      mHandles.at(aFd).mFile->mData.resize(aSize);
    }
    return crashing ? -EIO : 0;
  };
  ops.mClose = [this, alive](int aFd) {
    const auto found = mHandles.find(aFd);
    if (!alive() || found == mHandles.end()) {
      return -EBADF;
    }
    if (found->second.mHoldsLock) {
      found->second.mFile->mLocked = false;
    }
    mHandles.erase(found);
    return 0;
  };
  ops.mLock = [this, alive](int aFd) {
    Handle& handle = mHandles.at(aFd);
    if (!alive() || handle.mFile->mLocked) {
      return -EWOULDBLOCK;
    }
    handle.mFile->mLocked = true;
    handle.mHoldsLock = true;
    return 0;
  };
  ops.mRename = [this, alive](const std::string& aFrom, const std::string& aTo) {
    return alive() ? Rename(aFrom, aTo) : -EIO;
  };
  ops.mRemove = [this, alive](const std::string& aPath) { return alive() ? Remove(aPath) : -EIO; };
  ops.mMakeFolder = [this, alive](const std::string& aPath) {
    if (!alive() || mCrashed) {
      return -EIO;
    }
    return mFolders.insert(aPath).second ? 0 : -EEXIST;
  };
  ops.mSyncFolder = [this, alive](const std::string& /*aPath*/) {
    return alive() ? SyncFolder() : -EIO;
  };
  ops.mList = [this, alive](const std::string& aPath, std::vector<std::string>& aNames) {
    if (!alive() || mCrashed) {
      return -EIO;
    }
    for (const auto& [name, file] : mNames) {
      if (name.starts_with(aPath + "/")) {
        aNames.push_back(name.substr(aPath.size() + 1));
      }
    }
    return 0;
  };
  return ops;
}

void
MemoryDisk::EndProcess()
{
  for (auto& [fd, handle] : mHandles) {
    handle.mFile->mLocked = false;
  }
  mHandles.clear();
  mCrashed = false;
  ++mProcessNumber;
}

void
MemoryDisk::LoseUnsyncedData(File& aFile)
{
  if (aFile.mData == aFile.mDurableData) {
    return;
  }
  const std::size_t sizes[] = { aFile.mData.size(), aFile.mDurableData.size() };
  const std::size_t smaller = std::min(sizes[0], sizes[1]);
  const std::size_t larger = std::max(sizes[0], sizes[1]);
  std::string kept(CoinFlip() ? sizes[mRng() % 2] : smaller + mRng() % (larger - smaller + 1),
                   '\0');
  for (std::size_t at = 0; at < kept.size(); at += kSectorBytes) {
    const std::string& source = CoinFlip() ? aFile.mData : aFile.mDurableData;
    const std::size_t end = std::min({ at + kSectorBytes, kept.size(), source.size() });
    if (end > at) {
      std::memcpy(kept.data() + at, source.data() + at, end - at);
    }
  }
  aFile.mData = kept;
  aFile.mDurableData = kept;
}

void
MemoryDisk::LosePower()
{
  EndProcess();
  const std::size_t kept = mRng() % (mUnsyncedChanges.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) {
    for (const auto& [name, file] : mUnsyncedChanges[i].mNames) {
      if (file == nullptr) {
        mDurableNames.erase(name);
      } else {
        mDurableNames[name] = file;
      }
    }
  }
  mUnsyncedChanges.clear();
  mNames = mDurableNames;
  for (const auto& [name, file] : mNames) {
    LoseUnsyncedData(*file);
  }
}

std::vector<std::string>
MemoryDisk::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, file] : mNames) {
    names.push_back(name);
  }
  return names;
}

std::string
MemoryDisk::Content(const std::string& aPath) const
{
  const auto found = mNames.find(aPath);
  return found == mNames.end() ? std::string() : found->second->mData;
}

void
MemoryDisk::SetContent(const std::string& aPath, const std::string& aData)
{
  const auto file = std::make_shared<File>(File{ aData, aData });
  mNames[aPath] = file;
  mDurableNames[aPath] = file;
}

void
MemoryDisk::Erase(const std::string& aPath)
{
  mNames.erase(aPath);
  mDurableNames.erase(aPath);
}

void
MemoryDisk::Wipe()
{
  EndProcess();
  mNames.clear();
  mDurableNames.clear();
  mUnsyncedChanges.clear();
  mFolders.clear();
}

} // namespace apricotyard
