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
// Frame header: magic (4 bytes), payload length (4), checksum of the payload (8), little-endian.
constexpr std::size_t kFrameHeaderBytes = 16;
// A log file that exceeds this size is followed by a new one, so that old entries can be removed
// file by file.
constexpr std::uint64_t kMaxSegmentBytes = std::uint64_t{ 16 } * 1024 * 1024;
constexpr std::size_t kMaxPayloadBytes = std::size_t{ 256 } * 1024 * 1024;
constexpr char kEntriesRecord = 'E';
constexpr char kResetRecord = 'R';

void
AppendNumber(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

// Reads little-endian numbers and byte strings. mValid becomes false on a read past the end.
struct Reader
{
  std::string_view mData;
  bool mValid = true;

  std::string_view Bytes(std::size_t aSize)
  {
    if (aSize > mData.size()) {
      mValid = false;
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

// The checksum is seeded with the position, so that a copy of a frame inside a payload or at
// another offset is not valid.
std::uint64_t
FrameChecksum(std::string_view aPayload, std::uint64_t aSegment, std::uint64_t aOffset)
{
  return XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), (aSegment << 40) ^ aOffset);
}

std::string
MakeFrame(std::string_view aPayload, std::uint64_t aSegment, std::uint64_t aOffset)
{
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aPayload.size());
  AppendNumber(frame, kFrameMagic, 4);
  AppendNumber(frame, aPayload.size(), 4);
  AppendNumber(frame, FrameChecksum(aPayload, aSegment, aOffset), 8);
  frame += aPayload;
  return frame;
}

// The payload of the frame at aOffset, or nothing if there is no valid frame.
std::optional<std::string_view>
ReadFrameAt(std::string_view aData, std::uint64_t aSegment, std::size_t aOffset)
{
  Reader reader{ aData.substr(aOffset) };
  const std::uint64_t magic = reader.Number(4);
  const std::uint64_t size = reader.Number(4);
  const std::uint64_t sum = reader.Number(8);
  const std::string_view payload = reader.Bytes(size);
  if (!reader.mValid || magic != kFrameMagic || size == 0 ||
      FrameChecksum(payload, aSegment, aOffset) != sum) {
    return std::nullopt;
  }
  return payload;
}

// True if a valid frame starts at aOffset or later.
bool
HasFrameAtOrAfter(std::string_view aData, std::uint64_t aSegment, std::size_t aOffset)
{
  std::string magic;
  AppendNumber(magic, kFrameMagic, 4);
  for (std::size_t at = aData.find(magic, aOffset); at != std::string_view::npos;
       at = aData.find(magic, at + 1)) {
    if (ReadFrameAt(aData, aSegment, at)) {
      return true;
    }
  }
  return false;
}

// Appends a checksum to the text of a small file.
std::string
AddChecksum(const std::string& aText)
{
  return fmt::format("{}{:016x}\n", aText, XXH3_64bits(aText.data(), aText.size()));
}

// Returns the text without its checksum, or nothing if the checksum does not match.
std::optional<std::string>
RemoveChecksum(const std::string& aData)
{
  constexpr std::size_t kChecksumBytes = 17;
  if (aData.size() < kChecksumBytes) {
    return std::nullopt;
  }
  std::string text = aData.substr(0, aData.size() - kChecksumBytes);
  return AddChecksum(text) == aData ? std::optional(std::move(text)) : std::nullopt;
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

// The numbers in file names of the form aPrefix + digits, in ascending order.
std::vector<std::uint64_t>
FileNumbers(const std::vector<std::string>& aNames, const std::string& aPrefix)
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
NegativeErrno(int aResult)
{
  return aResult < 0 ? -errno : aResult;
}

int
ListFolder(const std::string& aPath, std::vector<std::string>& aNames)
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
SyncFolder(const std::string& aPath)
{
  const int fd = open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return -errno;
  }
  const int result = NegativeErrno(fsync(fd));
  close(fd);
  return result;
}

} // namespace

FileOps
SystemFileOps()
{
  FileOps ops;
  ops.mOpen = [](const std::string& aPath, int aFlags) {
    return NegativeErrno(open(aPath.c_str(), aFlags | O_CLOEXEC, 0600));
  };
  ops.mWrite = [](int aFd, std::string_view aData, std::uint64_t aOffset) -> ssize_t {
    const ssize_t count = pwrite(aFd, aData.data(), aData.size(), static_cast<off_t>(aOffset));
    return count < 0 ? -errno : count;
  };
  ops.mRead = [](int aFd, char* aData, std::size_t aSize, std::uint64_t aOffset) -> ssize_t {
    const ssize_t count = pread(aFd, aData, aSize, static_cast<off_t>(aOffset));
    return count < 0 ? -errno : count;
  };
  ops.mSync = [](int aFd) { return NegativeErrno(fdatasync(aFd)); };
  ops.mTruncate = [](int aFd, std::uint64_t aSize) {
    return NegativeErrno(ftruncate(aFd, static_cast<off_t>(aSize)));
  };
  ops.mClose = [](int aFd) { return NegativeErrno(close(aFd)); };
  ops.mLock = [](int aFd) { return NegativeErrno(flock(aFd, LOCK_EX | LOCK_NB)); };
  ops.mRename = [](const std::string& aFrom, const std::string& aTo) {
    return NegativeErrno(std::rename(aFrom.c_str(), aTo.c_str()));
  };
  ops.mRemove = [](const std::string& aPath) { return NegativeErrno(unlink(aPath.c_str())); };
  ops.mMakeFolder = [](const std::string& aPath) {
    return NegativeErrno(mkdir(aPath.c_str(), 0700));
  };
  ops.mSyncFolder = SyncFolder;
  ops.mList = ListFolder;
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
Storage::CheckResult(const std::string& aWhat, const std::string& aName, ssize_t aResult)
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
    return Fail(Result::StorageFailed,
                fmt::format("an earlier file operation in {} failed", mFolder));
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
      return CheckResult("write", aName, count);
    }
    done += static_cast<std::size_t>(count);
  }
  return {};
}

Expected<std::string>
Storage::ReadFile(const std::string& aName) const
{
  const int fd = mOps.mOpen(Path(aName), O_RDONLY);
  ssize_t count = fd;
  std::string data;
  while (count >= 0) {
    constexpr std::size_t kFirstReadBytes = std::size_t{ 16 } * 1024;
    const std::size_t size = data.size();
    const std::size_t step = std::max(kFirstReadBytes, size);
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

// Writes a temporary file and renames it, so that a crash leaves either the old or the new content.
Expected<void>
Storage::ReplaceFile(const std::string& aName, std::string_view aData)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  const std::string temporary = aName + ".new";
  const int fd = mOps.mOpen(Path(temporary), O_WRONLY | O_CREAT | O_TRUNC);
  if (fd == -ENOSPC || fd == -EDQUOT) {
    return Fail(Result::DiskFull, fmt::format("no space left to create {}", Path(temporary)));
  }
  if (auto opened = CheckResult("create", temporary, fd); !opened) {
    return opened;
  }
  auto written = WriteAll(fd, temporary, aData, 0);
  if (written) {
    written = CheckResult("sync", temporary, mOps.mSync(fd));
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
  if (auto checked = CheckResult("rename", temporary, renamed); !checked) {
    return checked;
  }
  return CheckResult("sync the folder of", aName, mOps.mSyncFolder(mFolder));
}

Expected<void>
Storage::AcquireLock()
{
  mLockFd = mOps.mOpen(Path("LOCK"), O_RDWR | O_CREAT);
  if (auto opened = CheckResult("open", "LOCK", mLockFd); !opened) {
    return opened;
  }
  const int locked = mOps.mLock(mLockFd);
  if (locked == -EWOULDBLOCK) {
    return Fail(Result::StorageLocked, fmt::format("another process uses {}", mFolder));
  }
  return CheckResult("lock", "LOCK", locked);
}

// FORMAT is written last. A folder without it was never in use.
Expected<void>
Storage::Initialise(const std::vector<std::string>& aNames,
                    const std::string& aName,
                    std::uint64_t aNonce)
{
  bool hasData = !FileNumbers(aNames, "snapshot-").empty();
  for (const std::uint64_t number : FileNumbers(aNames, "log-")) {
    const auto data = ReadFile(SegmentName(number));
    if (!data) {
      return tl::unexpected(data.error());
    }
    hasData = hasData || data->size() > kLogHeader.size();
    if (!hasData) {
      mOps.mRemove(Path(SegmentName(number)));
    }
  }
  if (hasData) {
    return Fail(Result::StorageFormat, fmt::format("{} holds data but no FORMAT file", mFolder));
  }
  mIdentity = fmt::format("{}.{:08x}", aName, static_cast<std::uint32_t>(aNonce));
  auto done = ReplaceFile("identity", AddChecksum(mIdentity + "\n"));
  if (done) {
    done = SaveVote({});
  }
  if (done) {
    done = OpenSegment(1);
  }
  return done ? ReplaceFile("FORMAT", kFormat) : done;
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
  const int created = storage->mOps.mMakeFolder(aFolder);
  if (created < 0 && created != -EEXIST) {
    return Fail(Result::StorageFailed,
                fmt::format("cannot create {}: {}", aFolder, std::strerror(-created)));
  }
  if (created >= 0) {
    const std::size_t slash = aFolder.find_last_of('/');
    const std::string parent = slash == std::string::npos ? "." : aFolder.substr(0, slash);
    if (auto synced = storage->CheckResult(
          "sync the parent of", "", storage->mOps.mSyncFolder(parent.empty() ? "/" : parent));
        !synced) {
      return tl::unexpected(synced.error());
    }
  }
  auto done = storage->AcquireLock();
  std::vector<std::string> names;
  if (done) {
    done = storage->CheckResult("list", "", storage->mOps.mList(aFolder, names));
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
  const auto format = ReadFile("FORMAT");
  if (!format) {
    return tl::unexpected(format.error());
  }
  if (*format != kFormat) {
    return Fail(Result::StorageFormat,
                fmt::format("{} names an unsupported format version", Path("FORMAT")));
  }
  for (const std::string& name : aNames) {
    if (name.ends_with(".new")) {
      mOps.mRemove(Path(name));
    }
  }
  const auto identity = ReadFile("identity");
  const auto vote = ReadFile("vote");
  if (!identity || !vote) {
    return tl::unexpected(identity ? vote.error() : identity.error());
  }
  const auto identityText = RemoveChecksum(*identity);
  const auto voteText = RemoveChecksum(*vote);
  if (!identityText || !voteText) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} is damaged at offset 0", Path(identityText ? "vote" : "identity")));
  }
  mIdentity = identityText->substr(0, identityText->find('\n'));
  const std::size_t space = voteText->find(' ');
  mInitialState.mVote.mTerm = std::strtoull(voteText->c_str(), nullptr, 10);
  mInitialState.mVote.mVotedFor = voteText->substr(space + 1, voteText->find('\n') - space - 1);
  if (auto loaded = LoadSnapshot(aNames); !loaded) {
    return loaded;
  }
  const std::vector<std::uint64_t> segments = FileNumbers(aNames, "log-");
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
  return ReconcileLogWithSnapshot();
}

Expected<void>
Storage::LoadSnapshot(const std::vector<std::string>& aNames)
{
  const std::vector<std::uint64_t> indexes = FileNumbers(aNames, "snapshot-");
  if (indexes.empty()) {
    return {};
  }
  const std::string name = SnapshotName(indexes.back());
  auto data = ReadFile(name);
  if (!data) {
    return tl::unexpected(data.error());
  }
  Reader reader{ *data };
  const std::string_view header = reader.Bytes(kSnapshotHeader.size());
  const std::uint64_t sum = reader.Number(8);
  if (!reader.mValid || header != kSnapshotHeader ||
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
  mSnapshotDataOffset = data->size() - reader.mData.size();
  mSnapshotData = std::string(reader.mData);
  mInitialState.mSnapshot = mSnapshot;
  return {};
}

Expected<void>
Storage::ParseFrame(std::string_view aPayload, const std::string& aFile, std::size_t aOffset)
{
  Reader reader{ aPayload };
  const auto corrupt = [&](const char* aWhat) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} has {} at offset {}", Path(aFile), aWhat, aOffset));
  };
  std::vector<LogEntry>& entries = mInitialState.mEntries;
  const std::string_view kind = reader.Bytes(1);
  if (kind[0] == kResetRecord) {
    entries.clear();
    for (Segment& segment : mSegments) {
      segment.mMaxIndex = 0;
    }
    return {};
  }
  if (kind[0] != kEntriesRecord) {
    return corrupt("an unknown record");
  }
  while (!reader.mData.empty()) {
    LogEntry entry;
    entry.mIndex = reader.Number(8);
    entry.mTerm = reader.Number(8);
    entry.mKind = static_cast<EntryKind>(reader.Number(1));
    entry.mData = std::string(reader.Bytes(reader.Number(4)));
    if (!reader.mValid || entry.mKind > EntryKind::Members ||
        (entry.mKind == EntryKind::Members && !DecodeMembers(entry.mData))) {
      return corrupt("an unreadable entry");
    }
    if (!entries.empty() && entry.mIndex > entries.back().mIndex + 1) {
      return corrupt("a gap");
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

// All log files but the last are complete and synced. In the last one an invalid frame is the
// incomplete end of the last write, unless a valid frame follows it: a frame is written only after
// the previous one is synced.
Expected<void>
Storage::LoadSegment(std::uint64_t aNumber, bool aLast)
{
  const std::string name = SegmentName(aNumber);
  const auto data = ReadFile(name);
  if (!data) {
    return tl::unexpected(data.error());
  }
  mSegments.push_back({ aNumber, 0 });
  std::size_t offset = kLogHeader.size();
  const bool header = data->starts_with(kLogHeader);
  if (!header && (!aLast || HasFrameAtOrAfter(*data, aNumber, 0))) {
    return Fail(Result::StorageCorrupt, fmt::format("{} is damaged at offset 0", Path(name)));
  }
  while (header && offset < data->size()) {
    const auto payload = ReadFrameAt(*data, aNumber, offset);
    if (!payload) {
      if (!aLast || HasFrameAtOrAfter(*data, aNumber, offset + 1)) {
        return Fail(Result::StorageCorrupt,
                    fmt::format("{} is damaged at offset {}", Path(name), offset));
      }
      break;
    }
    if (auto read = ParseFrame(*payload, name, offset); !read) {
      return read;
    }
    offset += kFrameHeaderBytes + payload->size();
  }
  if (!aLast) {
    return {};
  }
  mLogFd = mOps.mOpen(Path(name), O_RDWR);
  if (auto opened = CheckResult("open", name, mLogFd); !opened) {
    return opened;
  }
  if (!header) {
    mTruncatedBytes = data->size();
    if (auto cut = CheckResult("truncate", name, mOps.mTruncate(mLogFd, 0)); !cut) {
      return cut;
    }
    if (auto written = WriteAll(mLogFd, name, kLogHeader, 0); !written) {
      return written;
    }
  } else if (offset < data->size()) {
    mTruncatedBytes = data->size() - offset;
    if (auto cut = CheckResult("truncate", name, mOps.mTruncate(mLogFd, offset)); !cut) {
      return cut;
    }
  }
  mLogSize = offset;
  // A process that crashed before its sync leaves data that can be read but is not yet durable.
  if (auto synced = CheckResult("sync", name, mOps.mSync(mLogFd)); !synced) {
    return synced;
  }
  return CheckResult("sync the folder of", name, mOps.mSyncFolder(mFolder));
}

Expected<void>
Storage::ReconcileLogWithSnapshot()
{
  std::vector<LogEntry>& entries = mInitialState.mEntries;
  const std::uint64_t index = mSnapshot.mIndex;
  if (entries.empty()) {
    return {};
  }
  const std::uint64_t first = entries.front().mIndex;
  if (first > index + 1) {
    return Fail(Result::StorageCorrupt,
                fmt::format("{} lacks the log entries {} to {}", mFolder, index + 1, first - 1));
  }
  if (first == index + 1) {
    return {};
  }
  // A crash between the installation of a leader's snapshot and the reset of the log leaves entries
  // that the snapshot replaced.
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
  if (auto opened = CheckResult("create", name, fd); !opened) {
    return opened;
  }
  auto done = WriteAll(fd, name, kLogHeader, 0);
  if (done) {
    done = CheckResult("sync", name, mOps.mSync(fd));
  }
  if (done) {
    done = CheckResult("sync the folder of", name, mOps.mSyncFolder(mFolder));
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
  if (aPayload.size() > kMaxPayloadBytes) {
    return Fail(Result::StorageFailed, "a log record exceeds the maximum size");
  }
  if (mLogSize > kMaxSegmentBytes) {
    if (auto opened = OpenSegment(mSegments.back().mNumber + 1); !opened) {
      return opened;
    }
  }
  const std::string name = SegmentName(mSegments.back().mNumber);
  const std::string frame = MakeFrame(aPayload, mSegments.back().mNumber, mLogSize);
  if (auto written = WriteAll(mLogFd, name, frame, mLogSize); !written) {
    // Removes the partial frame, so that later frames follow the last complete one.
    if (written.error().mResult == Result::DiskFull) {
      if (auto cut = CheckResult("truncate", name, mOps.mTruncate(mLogFd, mLogSize)); !cut) {
        return cut;
      }
    }
    return written;
  }
  if (auto synced = CheckResult("sync", name, mOps.mSync(mLogFd)); !synced) {
    return synced;
  }
  mLogSize += frame.size();
  return {};
}

Expected<void>
Storage::AppendReset(std::uint64_t aIndex, std::uint64_t aTerm)
{
  std::string payload(1, kResetRecord);
  AppendNumber(payload, aIndex, 8);
  AppendNumber(payload, aTerm, 8);
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
  return ReplaceFile("vote", AddChecksum(fmt::format("{} {}\n", aVote.mTerm, aVote.mVotedFor)));
}

Expected<void>
Storage::ReplaceIdentity(const std::string& aIdentity)
{
  auto done = ReplaceFile("identity", AddChecksum(aIdentity + "\n"));
  if (done) {
    mIdentity = aIdentity;
  }
  return done;
}

Expected<void>
Storage::Append(std::span<const LogEntry> aEntries)
{
  std::string payload(1, kEntriesRecord);
  for (const LogEntry& entry : aEntries) {
    AppendNumber(payload, entry.mIndex, 8);
    AppendNumber(payload, entry.mTerm, 8);
    AppendNumber(payload, static_cast<std::uint64_t>(entry.mKind), 1);
    AppendNumber(payload, entry.mData.size(), 4);
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
  AppendNumber(body, aMeta.mIndex, 8);
  AppendNumber(body, aMeta.mTerm, 8);
  AppendNumber(body, members.size(), 4);
  body += members;
  body += aData;
  std::string file(kSnapshotHeader);
  AppendNumber(file, XXH3_64bits(body.data(), body.size()), 8);
  const std::uint64_t start = file.size() + body.size() - aData.size();
  file += body;
  if (auto saved = ReplaceFile(SnapshotName(aMeta.mIndex), file); !saved) {
    return saved;
  }
  mSnapshot = aMeta;
  mSnapshot.mSize = aData.size();
  mSnapshotDataOffset = start;
  if (!aKeepLog) {
    if (auto reset = AppendReset(aMeta.mIndex, aMeta.mTerm); !reset) {
      return reset;
    }
  }
  RemoveObsoleteFiles();
  return {};
}

// A file that cannot be removed is retried next time. Log files are removed from the oldest on, so
// that a crash never leaves a gap.
void
Storage::RemoveObsoleteFiles()
{
  std::vector<std::string> names;
  if (mOps.mList(mFolder, names) < 0) {
    return;
  }
  for (const std::uint64_t index : FileNumbers(names, "snapshot-")) {
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
    count =
      mOps.mRead(fd, data.data() + done, data.size() - done, mSnapshotDataOffset + aOffset + done);
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
