#include "storage.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include <dirent.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

constexpr std::string_view kFormat = "apricotyard-control 1\n";
constexpr std::string_view kLogHeader = "APRLOG 1";
constexpr std::string_view kSnapshotHeader = "APRSNAP1";
constexpr std::uint32_t kFrameMagic = 0x59A1F00D;
// Magic, length of the payload, checksum of length and payload.
constexpr std::size_t kFrameHead = 16;
// A log file is closed when it exceeds this size, so that old entries can be dropped file by file.
constexpr std::uint64_t kSegmentBytes = std::uint64_t{ 16 } * 1024 * 1024;
constexpr std::size_t kMaxFrame = std::size_t{ 256 } * 1024 * 1024;
constexpr char kEntries = 'E';
constexpr char kReset = 'R';

void
Put(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

// Reads little-endian numbers and texts; mGood turns false at the end of the data.
struct Reader
{
  std::string_view mData;
  bool mGood = true;

  std::string_view Bytes(std::size_t aSize)
  {
    if (aSize > mData.size()) {
      mGood = false;
      return {};
    }
    const std::string_view bytes = mData.substr(0, aSize);
    mData.remove_prefix(aSize);
    return bytes;
  }

  std::uint64_t Number(int aBytes)
  {
    const std::string_view bytes = Bytes(static_cast<std::size_t>(aBytes));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      value |= std::uint64_t{ static_cast<unsigned char>(bytes[i]) } << (8 * i);
    }
    return value;
  }
};

// The position is part of the checksum, so that a frame inside a payload, or one at the wrong
// place, is not valid.
std::uint64_t
FrameSum(std::string_view aPayload, std::uint64_t aSegment, std::uint64_t aOffset)
{
  return XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), (aSegment << 40) ^ aOffset);
}

std::string
Frame(std::string_view aPayload, std::uint64_t aSegment, std::uint64_t aOffset)
{
  std::string frame;
  frame.reserve(kFrameHead + aPayload.size());
  Put(frame, kFrameMagic, 4);
  Put(frame, aPayload.size(), 4);
  Put(frame, FrameSum(aPayload, aSegment, aOffset), 8);
  frame += aPayload;
  return frame;
}

// The payload of a valid frame at aOffset.
std::optional<std::string_view>
FrameAt(std::string_view aData, std::uint64_t aSegment, std::size_t aOffset)
{
  Reader reader{ aData.substr(aOffset) };
  const std::uint64_t magic = reader.Number(4);
  const std::uint64_t size = reader.Number(4);
  const std::uint64_t sum = reader.Number(8);
  const std::string_view payload = reader.Bytes(size);
  if (!reader.mGood || magic != kFrameMagic || size == 0 ||
      FrameSum(payload, aSegment, aOffset) != sum) {
    return std::nullopt;
  }
  return payload;
}

bool
FrameAfter(std::string_view aData, std::uint64_t aSegment, std::size_t aOffset)
{
  std::string magic;
  Put(magic, kFrameMagic, 4);
  for (std::size_t at = aData.find(magic, aOffset); at != std::string_view::npos;
       at = aData.find(magic, at + 1)) {
    if (FrameAt(aData, aSegment, at)) {
      return true;
    }
  }
  return false;
}

// A text followed by its checksum, for the small files.
std::string
Sealed(const std::string& aText)
{
  return fmt::format("{}{:016x}\n", aText, XXH3_64bits(aText.data(), aText.size()));
}

std::optional<std::string>
Unsealed(const std::string& aData)
{
  constexpr std::size_t kSealBytes = 17;
  if (aData.size() < kSealBytes) {
    return std::nullopt;
  }
  std::string text = aData.substr(0, aData.size() - kSealBytes);
  return Sealed(text) == aData ? std::optional(std::move(text)) : std::nullopt;
}

std::string
SegmentName(std::uint64_t aNumber)
{
  return fmt::format("log-{:08}", aNumber);
}

std::string
SnapshotName(std::uint64_t aIndex)
{
  return fmt::format("snapshot-{:020}", aIndex);
}

// The numbers of the files aPrefix + digits, ascending.
std::vector<std::uint64_t>
Numbers(const std::vector<std::string>& aNames, const std::string& aPrefix)
{
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : aNames) {
    if (name.starts_with(aPrefix) && name.size() > aPrefix.size() &&
        name.find_first_not_of("0123456789", aPrefix.size()) == std::string::npos) {
      numbers.push_back(std::strtoull(name.c_str() + aPrefix.size(), nullptr, 10));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

int
Errno(int aResult)
{
  return aResult < 0 ? -errno : aResult;
}

int
SystemList(const std::string& aPath, std::vector<std::string>& aNames)
{
  DIR* const folder = opendir(aPath.c_str());
  if (folder == nullptr) {
    return -errno;
  }
  while (const dirent* entry = readdir(folder)) { // NOLINT(concurrency-mt-unsafe)
    aNames.emplace_back(entry->d_name);
  }
  closedir(folder);
  return 0;
}

int
SystemSyncFolder(const std::string& aPath)
{
  const int fd = open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return -errno;
  }
  const int result = Errno(fsync(fd));
  close(fd);
  return result;
}

} // namespace

FileOps
SystemFileOps()
{
  FileOps ops;
  ops.mOpen = [](const std::string& aPath, int aFlags) {
    return Errno(open(aPath.c_str(), aFlags | O_CLOEXEC, 0600));
  };
  ops.mWrite = [](int aFd, std::string_view aData, std::uint64_t aOffset) -> ssize_t {
    const ssize_t count = pwrite(aFd, aData.data(), aData.size(), static_cast<off_t>(aOffset));
    return count < 0 ? -errno : count;
  };
  ops.mRead = [](int aFd, char* aData, std::size_t aSize, std::uint64_t aOffset) -> ssize_t {
    const ssize_t count = pread(aFd, aData, aSize, static_cast<off_t>(aOffset));
    return count < 0 ? -errno : count;
  };
  ops.mSync = [](int aFd) { return Errno(fdatasync(aFd)); };
  ops.mTruncate = [](int aFd, std::uint64_t aSize) {
    return Errno(ftruncate(aFd, static_cast<off_t>(aSize)));
  };
  ops.mClose = [](int aFd) { return Errno(close(aFd)); };
  ops.mLock = [](int aFd) { return Errno(flock(aFd, LOCK_EX | LOCK_NB)); };
  ops.mRename = [](const std::string& aFrom, const std::string& aTo) {
    return Errno(std::rename(aFrom.c_str(), aTo.c_str()));
  };
  ops.mRemove = [](const std::string& aPath) { return Errno(unlink(aPath.c_str())); };
  ops.mMakeFolder = [](const std::string& aPath) { return Errno(mkdir(aPath.c_str(), 0700)); };
  ops.mSyncFolder = SystemSyncFolder;
  ops.mList = SystemList;
  return ops;
}

Storage::~Storage()
{
  if (mLogFd >= 0) {
    mOps.mClose(mLogFd);
  }
  if (mLockFd >= 0) {
    mOps.mClose(mLockFd);
  }
}

Expected<void>
Storage::Check(const std::string& aWhat, const std::string& aName, ssize_t aResult)
{
  if (aResult >= 0) {
    return {};
  }
  mFailed = true;
  return Fail(
    Result::StorageFailed,
    fmt::format("cannot {} {}: {}", aWhat, Path(aName), std::strerror(static_cast<int>(-aResult))));
}

Expected<void>
Storage::CheckUsable() const
{
  if (mFailed) {
    return Fail(Result::StorageFailed, fmt::format("{} failed before", mFolder));
  }
  return {};
}

Expected<void>
Storage::WriteAll(int aFd, const std::string& aName, std::string_view aData, std::uint64_t aOffset)
{
  std::size_t done = 0;
  while (done < aData.size()) {
    const ssize_t count = mOps.mWrite(aFd, aData.substr(done), aOffset + done);
    if (count == -EINTR) {
      continue;
    }
    if (count == -ENOSPC || count == -EDQUOT || count == 0) {
      return Fail(Result::DiskFull, fmt::format("no space left to write {}", Path(aName)));
    }
    if (count < 0) {
      return Check("write", aName, count);
    }
    done += static_cast<std::size_t>(count);
  }
  return {};
}

Expected<std::string>
Storage::ReadWhole(const std::string& aName) const
{
  const int fd = mOps.mOpen(Path(aName), O_RDONLY);
  ssize_t count = fd;
  std::string data;
  while (count >= 0) {
    constexpr std::size_t kFirstStep = std::size_t{ 16 } * 1024;
    const std::size_t size = data.size();
    const std::size_t step = std::max(kFirstStep, size);
    data.resize(size + step);
    count = mOps.mRead(fd, data.data() + size, step, size);
    data.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) {
      mOps.mClose(fd);
      return data;
    }
  }
  if (fd >= 0) {
    mOps.mClose(fd);
  }
  if (fd == -ENOENT) {
    return Fail(Result::StorageCorrupt, fmt::format("{} is missing", Path(aName)));
  }
  return Fail(
    Result::StorageFailed,
    fmt::format("cannot read {}: {}", Path(aName), std::strerror(static_cast<int>(-count))));
}

// Writes a new file beside the old one, so that a crash leaves one of the two.
Expected<void>
Storage::Replace(const std::string& aName, std::string_view aData)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  const std::string temporary = aName + ".new";
  const int fd = mOps.mOpen(Path(temporary), O_WRONLY | O_CREAT | O_TRUNC);
  if (fd == -ENOSPC || fd == -EDQUOT) {
    return Fail(Result::DiskFull, fmt::format("no space left to create {}", Path(temporary)));
  }
  if (auto opened = Check("create", temporary, fd); !opened) {
    return opened;
  }
  auto written = WriteAll(fd, temporary, aData, 0);
  if (written) {
    written = Check("sync", temporary, mOps.mSync(fd));
  }
  mOps.mClose(fd);
  if (!written) {
    mOps.mRemove(Path(temporary));
    return written;
  }
  const int renamed = mOps.mRename(Path(temporary), Path(aName));
  if (renamed == -ENOSPC || renamed == -EDQUOT) {
    mOps.mRemove(Path(temporary));
    return Fail(Result::DiskFull, fmt::format("no space left to rename {}", Path(temporary)));
  }
  if (auto checked = Check("rename", temporary, renamed); !checked) {
    return checked;
  }
  return Check("sync the folder of", aName, mOps.mSyncFolder(mFolder));
}

Expected<void>
Storage::TakeLock()
{
  mLockFd = mOps.mOpen(Path("LOCK"), O_RDWR | O_CREAT);
  if (auto opened = Check("open", "LOCK", mLockFd); !opened) {
    return opened;
  }
  const int locked = mOps.mLock(mLockFd);
  if (locked == -EWOULDBLOCK) {
    return Fail(Result::StorageLocked, fmt::format("another process uses {}", mFolder));
  }
  return Check("lock", "LOCK", locked);
}

// FORMAT is written last, so that a folder without it holds nothing that was ever used.
Expected<void>
Storage::Initialise(const std::vector<std::string>& aNames,
                    const std::string& aName,
                    std::uint64_t aNonce)
{
  bool used = !Numbers(aNames, "snapshot-").empty();
  for (const std::uint64_t number : Numbers(aNames, "log-")) {
    const auto data = ReadWhole(SegmentName(number));
    if (!data) {
      return tl::unexpected(data.error());
    }
    used = used || data->size() > kLogHeader.size();
    if (!used) {
      mOps.mRemove(Path(SegmentName(number)));
    }
  }
  if (used) {
    return Fail(Result::StorageFormat, fmt::format("{} holds data but no FORMAT", mFolder));
  }
  mIdentity = fmt::format("{}.{:08x}", aName, static_cast<std::uint32_t>(aNonce));
  auto done = Replace("identity", Sealed(mIdentity + "\n"));
  if (done) {
    done = SaveVote({});
  }
  if (done) {
    done = OpenSegment(1);
  }
  return done ? Replace("FORMAT", kFormat) : done;
}

Expected<std::unique_ptr<Storage>>
Storage::Open(FileOps aOps,
              const std::string& aFolder,
              const std::string& aName,
              std::uint64_t aNonce)
{
  std::unique_ptr<Storage> storage(new Storage());
  storage->mOps = std::move(aOps);
  storage->mFolder = aFolder;
  const int made = storage->mOps.mMakeFolder(aFolder);
  if (made < 0 && made != -EEXIST) {
    return Fail(Result::StorageFailed,
                fmt::format("cannot create {}: {}", aFolder, std::strerror(-made)));
  }
  if (made >= 0) {
    const std::size_t slash = aFolder.find_last_of('/');
    const std::string parent = slash == std::string::npos ? "." : aFolder.substr(0, slash);
    if (auto synced = storage->Check(
          "sync the parent of", "", storage->mOps.mSyncFolder(parent.empty() ? "/" : parent));
        !synced) {
      return tl::unexpected(synced.error());
    }
  }
  auto done = storage->TakeLock();
  std::vector<std::string> names;
  if (done) {
    done = storage->Check("list", "", storage->mOps.mList(aFolder, names));
  }
  if (done) {
    const bool formatted = std::find(names.begin(), names.end(), "FORMAT") != names.end();
    done = formatted ? storage->Load(names) : storage->Initialise(names, aName, aNonce);
  }
  if (!done) {
    return tl::unexpected(done.error());
  }
  return storage;
}

Expected<void>
Storage::Load(const std::vector<std::string>& aNames)
{
  const auto format = ReadWhole("FORMAT");
  if (!format) {
    return tl::unexpected(format.error());
  }
  if (*format != kFormat) {
    return Fail(Result::StorageFormat, fmt::format("{} is of another version", Path("FORMAT")));
  }
  for (const std::string& name : aNames) {
    if (name.ends_with(".new")) {
      mOps.mRemove(Path(name));
    }
  }
  const auto identity = ReadWhole("identity");
  const auto vote = ReadWhole("vote");
  if (!identity || !vote) {
    return tl::unexpected(identity ? vote.error() : identity.error());
  }
  const auto identityText = Unsealed(*identity);
  const auto voteText = Unsealed(*vote);
  if (!identityText || !voteText) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} is damaged at offset 0", Path(identityText ? "vote" : "identity")));
  }
  mIdentity = identityText->substr(0, identityText->find('\n'));
  const std::size_t space = voteText->find(' ');
  mStart.mVote.mTerm = std::strtoull(voteText->c_str(), nullptr, 10);
  mStart.mVote.mVote = voteText->substr(space + 1, voteText->find('\n') - space - 1);
  if (auto loaded = LoadSnapshot(aNames); !loaded) {
    return loaded;
  }
  const std::vector<std::uint64_t> segments = Numbers(aNames, "log-");
  if (segments.empty()) {
    return Fail(Result::StorageCorrupt, fmt::format("{} is missing", Path(SegmentName(1))));
  }
  for (const std::uint64_t number : segments) {
    if (!mSegments.empty() && number != mSegments.back().mNumber + 1) {
      return Fail(Result::StorageCorrupt,
                  fmt::format("{} is missing", Path(SegmentName(number - 1))));
    }
    if (auto loaded = LoadSegment(number, number == segments.back()); !loaded) {
      return loaded;
    }
  }
  return FitLogToSnapshot();
}

Expected<void>
Storage::LoadSnapshot(const std::vector<std::string>& aNames)
{
  const std::vector<std::uint64_t> indexes = Numbers(aNames, "snapshot-");
  if (indexes.empty()) {
    return {};
  }
  const std::string name = SnapshotName(indexes.back());
  auto data = ReadWhole(name);
  if (!data) {
    return tl::unexpected(data.error());
  }
  Reader reader{ *data };
  const std::string_view header = reader.Bytes(kSnapshotHeader.size());
  const std::uint64_t sum = reader.Number(8);
  if (!reader.mGood || header != kSnapshotHeader ||
      XXH3_64bits(reader.mData.data(), reader.mData.size()) != sum) {
    return Fail(Result::StorageCorrupt, fmt::format("{} is damaged at offset 0", Path(name)));
  }
  mSnapshot.mIndex = reader.Number(8);
  mSnapshot.mTerm = reader.Number(8);
  auto members = DecodeMembers(reader.Bytes(reader.Number(4)));
  if (!members) {
    return tl::unexpected(members.error());
  }
  mSnapshot.mMembers = std::move(*members);
  mSnapshot.mSize = reader.mData.size();
  mSnapshotStart = data->size() - reader.mData.size();
  mSnapshotData = std::string(reader.mData);
  mStart.mSnapshot = mSnapshot;
  return {};
}

Expected<void>
Storage::ReadFrame(std::string_view aPayload, const std::string& aFile, std::size_t aOffset)
{
  Reader reader{ aPayload };
  const auto damaged = [&](const char* aWhat) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} has {} at offset {}", Path(aFile), aWhat, aOffset));
  };
  std::vector<LogEntry>& entries = mStart.mEntries;
  const std::string_view kind = reader.Bytes(1);
  if (kind[0] == kReset) {
    entries.clear();
    for (Segment& segment : mSegments) {
      segment.mMaxIndex = 0;
    }
    return {};
  }
  if (kind[0] != kEntries) {
    return damaged("an unknown record");
  }
  while (!reader.mData.empty()) {
    LogEntry entry;
    entry.mIndex = reader.Number(8);
    entry.mTerm = reader.Number(8);
    entry.mKind = static_cast<EntryKind>(reader.Number(1));
    entry.mData = std::string(reader.Bytes(reader.Number(4)));
    if (!reader.mGood || entry.mKind > EntryKind::Members ||
        (entry.mKind == EntryKind::Members && !DecodeMembers(entry.mData))) {
      return damaged("an unreadable entry");
    }
    if (!entries.empty() && entry.mIndex > entries.back().mIndex + 1) {
      return damaged("a gap");
    }
    if (!entries.empty() && entry.mIndex <= entries.back().mIndex) {
      const std::uint64_t first = entries.front().mIndex;
      entries.resize(entry.mIndex > first ? entry.mIndex - first : 0);
    }
    mSegments.back().mMaxIndex = std::max(mSegments.back().mMaxIndex, entry.mIndex);
    entries.push_back(std::move(entry));
  }
  return {};
}

// Every file but the last was synced as a whole. In the last one an invalid frame is the torn end
// of the last write, unless a valid frame follows: a frame is written only after the one before it
// is synced.
Expected<void>
Storage::LoadSegment(std::uint64_t aNumber, bool aLast)
{
  const std::string name = SegmentName(aNumber);
  const auto data = ReadWhole(name);
  if (!data) {
    return tl::unexpected(data.error());
  }
  mSegments.push_back({ aNumber, 0 });
  std::size_t offset = kLogHeader.size();
  const bool header = data->starts_with(kLogHeader);
  if (!header && (!aLast || FrameAfter(*data, aNumber, 0))) {
    return Fail(Result::StorageCorrupt, fmt::format("{} is damaged at offset 0", Path(name)));
  }
  while (header && offset < data->size()) {
    const auto payload = FrameAt(*data, aNumber, offset);
    if (!payload) {
      if (!aLast || FrameAfter(*data, aNumber, offset + 1)) {
        return Fail(Result::StorageCorrupt,
                    fmt::format("{} is damaged at offset {}", Path(name), offset));
      }
      break;
    }
    if (auto read = ReadFrame(*payload, name, offset); !read) {
      return read;
    }
    offset += kFrameHead + payload->size();
  }
  if (!aLast) {
    return {};
  }
  mLogFd = mOps.mOpen(Path(name), O_RDWR);
  if (auto opened = Check("open", name, mLogFd); !opened) {
    return opened;
  }
  if (!header) {
    mCutBytes = data->size();
    if (auto cut = Check("truncate", name, mOps.mTruncate(mLogFd, 0)); !cut) {
      return cut;
    }
    if (auto written = WriteAll(mLogFd, name, kLogHeader, 0); !written) {
      return written;
    }
  } else if (offset < data->size()) {
    mCutBytes = data->size() - offset;
    if (auto cut = Check("truncate", name, mOps.mTruncate(mLogFd, offset)); !cut) {
      return cut;
    }
  }
  mLogSize = offset;
  // A process that ended before its sync leaves data that is readable but not yet durable.
  if (auto synced = Check("sync", name, mOps.mSync(mLogFd)); !synced) {
    return synced;
  }
  return Check("sync the folder of", name, mOps.mSyncFolder(mFolder));
}

Expected<void>
Storage::FitLogToSnapshot()
{
  std::vector<LogEntry>& entries = mStart.mEntries;
  const std::uint64_t index = mSnapshot.mIndex;
  if (entries.empty()) {
    return {};
  }
  const std::uint64_t first = entries.front().mIndex;
  if (first > index + 1) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} lacks the entries {} to {}", mFolder, index + 1, first - 1));
  }
  if (first == index + 1) {
    return {};
  }
  // A crash between a snapshot of the leader and the reset of the log leaves entries that the
  // snapshot replaced.
  if (entries.back().mIndex < index || entries[index - first].mTerm != mSnapshot.mTerm) {
    entries.clear();
    return AppendReset(index, mSnapshot.mTerm);
  }
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(index - first + 1));
  return {};
}

Expected<void>
Storage::OpenSegment(std::uint64_t aNumber)
{
  const std::string name = SegmentName(aNumber);
  const int fd = mOps.mOpen(Path(name), O_RDWR | O_CREAT | O_TRUNC);
  if (fd == -ENOSPC || fd == -EDQUOT) {
    return Fail(Result::DiskFull, fmt::format("no space left to create {}", Path(name)));
  }
  if (auto opened = Check("create", name, fd); !opened) {
    return opened;
  }
  auto done = WriteAll(fd, name, kLogHeader, 0);
  if (done) {
    done = Check("sync", name, mOps.mSync(fd));
  }
  if (done) {
    done = Check("sync the folder of", name, mOps.mSyncFolder(mFolder));
  }
  if (!done) {
    mOps.mClose(fd);
    mOps.mRemove(Path(name));
    return done;
  }
  if (mLogFd >= 0) {
    mOps.mClose(mLogFd);
  }
  mLogFd = fd;
  mLogSize = kLogHeader.size();
  mSegments.push_back({ aNumber, 0 });
  return {};
}

Expected<void>
Storage::AppendFrame(std::string_view aPayload)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  if (aPayload.size() > kMaxFrame) {
    return Fail(Result::StorageFailed, "a record exceeds the largest frame");
  }
  if (mLogSize > kSegmentBytes) {
    if (auto opened = OpenSegment(mSegments.back().mNumber + 1); !opened) {
      return opened;
    }
  }
  const std::string name = SegmentName(mSegments.back().mNumber);
  const std::string frame = Frame(aPayload, mSegments.back().mNumber, mLogSize);
  if (auto written = WriteAll(mLogFd, name, frame, mLogSize); !written) {
    // Cuts the part that fitted, so that later frames follow the last whole one.
    if (written.error().mResult == Result::DiskFull) {
      if (auto cut = Check("truncate", name, mOps.mTruncate(mLogFd, mLogSize)); !cut) {
        return cut;
      }
    }
    return written;
  }
  if (auto synced = Check("sync", name, mOps.mSync(mLogFd)); !synced) {
    return synced;
  }
  mLogSize += frame.size();
  return {};
}

Expected<void>
Storage::AppendReset(std::uint64_t aIndex, std::uint64_t aTerm)
{
  std::string payload(1, kReset);
  Put(payload, aIndex, 8);
  Put(payload, aTerm, 8);
  auto done = AppendFrame(payload);
  if (done) {
    for (Segment& segment : mSegments) {
      segment.mMaxIndex = 0;
    }
  }
  return done;
}

Expected<void>
Storage::SaveVote(const VoteState& aVote)
{
  return Replace("vote", Sealed(fmt::format("{} {}\n", aVote.mTerm, aVote.mVote)));
}

Expected<void>
Storage::ReplaceIdentity(const std::string& aIdentity)
{
  auto done = Replace("identity", Sealed(aIdentity + "\n"));
  if (done) {
    mIdentity = aIdentity;
  }
  return done;
}

Expected<void>
Storage::Append(std::span<const LogEntry> aEntries)
{
  std::string payload(1, kEntries);
  for (const LogEntry& entry : aEntries) {
    Put(payload, entry.mIndex, 8);
    Put(payload, entry.mTerm, 8);
    Put(payload, static_cast<std::uint64_t>(entry.mKind), 1);
    Put(payload, entry.mData.size(), 4);
    payload += entry.mData;
  }
  auto done = AppendFrame(payload);
  if (done) {
    mSegments.back().mMaxIndex = std::max(mSegments.back().mMaxIndex, aEntries.back().mIndex);
  }
  return done;
}

Expected<void>
Storage::SaveSnapshot(const SnapshotMeta& aMeta, std::string_view aData, bool aKeepLog)
{
  std::string body;
  const std::string members = EncodeMembers(aMeta.mMembers);
  body.reserve(aData.size() + members.size() + 64);
  Put(body, aMeta.mIndex, 8);
  Put(body, aMeta.mTerm, 8);
  Put(body, members.size(), 4);
  body += members;
  body += aData;
  std::string file(kSnapshotHeader);
  Put(file, XXH3_64bits(body.data(), body.size()), 8);
  const std::uint64_t start = file.size() + body.size() - aData.size();
  file += body;
  if (auto saved = Replace(SnapshotName(aMeta.mIndex), file); !saved) {
    return saved;
  }
  mSnapshot = aMeta;
  mSnapshot.mSize = aData.size();
  mSnapshotStart = start;
  if (!aKeepLog) {
    if (auto reset = AppendReset(aMeta.mIndex, aMeta.mTerm); !reset) {
      return reset;
    }
  }
  DropOldFiles();
  return {};
}

// A file that cannot be removed is left for the next time. The oldest log file goes first, so that
// a crash never leaves a gap.
void
Storage::DropOldFiles()
{
  std::vector<std::string> names;
  if (mOps.mList(mFolder, names) < 0) {
    return;
  }
  for (const std::uint64_t index : Numbers(names, "snapshot-")) {
    if (index < mSnapshot.mIndex) {
      mOps.mRemove(Path(SnapshotName(index)));
    }
  }
  while (mSegments.size() > 1 && mSegments.front().mMaxIndex <= mSnapshot.mIndex) {
    if (mOps.mRemove(Path(SegmentName(mSegments.front().mNumber))) < 0) {
      return;
    }
    mSegments.pop_front();
  }
}

Expected<std::string>
Storage::ReadSnapshot(std::uint64_t aOffset, std::size_t aSize) const
{
  const std::string name = SnapshotName(mSnapshot.mIndex);
  const int fd = mOps.mOpen(Path(name), O_RDONLY);
  std::string data(
    std::min<std::uint64_t>(aSize, mSnapshot.mSize - std::min(aOffset, mSnapshot.mSize)), '\0');
  ssize_t count = fd;
  std::size_t done = 0;
  while (count >= 0 && done < data.size()) {
    count = mOps.mRead(fd, data.data() + done, data.size() - done, mSnapshotStart + aOffset + done);
    if (count == 0) {
      count = -EIO;
    }
    done += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  }
  if (fd >= 0) {
    mOps.mClose(fd);
  }
  if (count < 0) {
    return Fail(
      Result::StorageFailed,
      fmt::format("cannot read {}: {}", Path(name), std::strerror(static_cast<int>(-count))));
  }
  return data;
}

} // namespace apricotyard
