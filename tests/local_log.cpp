#include "local_log.h"

#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

// A record is a header, with the length and the checksum of the command in 8 bytes each, followed
// by the command.
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kMaxCommandBytes = std::size_t{ 16 } * 1024 * 1024;

std::string
EncodeRecord(std::string_view aCommand)
{
  const std::uint64_t header[2] = { aCommand.size(),
                                    XXH3_64bits(aCommand.data(), aCommand.size()) };
  std::string record(reinterpret_cast<const char*>(header), kHeaderBytes);
  record.append(aCommand);
  return record;
}

Error
SystemError(const std::string& aAction)
{
  return { Result::Internal, fmt::format("{}: {}", aAction, std::strerror(errno)) };
}

class LocalLog final : public ReplicatedLog
{
public:
  LocalLog(Loop& aLoop, LogMember aSelf, StateMachine aMachine)
    : mLoop(aLoop)
    , mMachine(std::move(aMachine))
  {
    mStatus.mSelf = aSelf.mId;
    mStatus.mLeader = aSelf.mId;
    mStatus.mLeading = true;
    mStatus.mTerm = 1;
    mStatus.mMembers.push_back(std::move(aSelf));
  }

  ~LocalLog() override
  {
    mLoop.CancelTimer(mFlushTimer);
    if (mFd >= 0) {
      close(mFd);
    }
  }
  LocalLog(const LocalLog&) = delete;
  LocalLog& operator=(const LocalLog&) = delete;

  Expected<void> Open(const std::string& aFolder);

  void Propose(std::string aCommand, OutcomeHandler aDone) override
  {
    if (aCommand.size() > kMaxCommandBytes) {
      aDone(Fail(Result::BodyTooLarge, "the command exceeds 16 MiB"));
      return;
    }
    mPending.push_back({ std::move(aCommand), std::move(aDone) });
    if (mFlushTimer == 0) {
      mFlushTimer = mLoop.AddTimer(SteadyNow(), [this] { Flush(); });
    }
  }

  void ReadBarrier(DoneHandler aDone) override { aDone({}); }
  void AddLearner(const LogMember& /*aMember*/, DoneHandler aDone) override
  {
    RefuseMembershipChange(aDone);
  }
  void Promote(const std::string& /*aMember*/, DoneHandler aDone) override
  {
    RefuseMembershipChange(aDone);
  }
  void Remove(const std::string& /*aMember*/, DoneHandler aDone) override
  {
    RefuseMembershipChange(aDone);
  }
  LogStatus Status() const override { return mStatus; }

private:
  struct PendingCommand
  {
    std::string mCommand;
    OutcomeHandler mDone;
  };

  static void RefuseMembershipChange(const DoneHandler& aDone)
  {
    aDone(Fail(Result::BadRequest, "this log has a single member that cannot be changed"));
  }

  void Flush();
  bool Write(const std::string& aBytes);

  std::string ApplyNext(std::string_view aCommand)
  {
    mStatus.mLastIndex += 1;
    mStatus.mCommitted = mStatus.mLastIndex;
    mStatus.mApplied = mStatus.mLastIndex;
    mStatus.mMembers.front().mMatchIndex = mStatus.mLastIndex;
    return mMachine.mApply(mStatus.mLastIndex, aCommand);
  }

  Loop& mLoop;
  StateMachine mMachine;
  LogStatus mStatus;
  std::vector<PendingCommand> mPending;
  TimerId mFlushTimer = 0;
  int mFd = -1;
  // Set after a failed write or sync. The state of the end of the file is then unknown, so all
  // further commands are refused.
  bool mFailed = false;
};

Expected<void>
LocalLog::Open(const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  const std::string path = (std::filesystem::path(aFolder) / "commands").string();
  mFd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (mFd < 0) {
    return tl::unexpected(SystemError("cannot open " + path));
  }
  off_t offset = 0;
  for (;;) {
    std::uint64_t header[2] = { 0, 0 };
    std::string command;
    bool complete = pread(mFd, header, kHeaderBytes, offset) == ssize_t{ kHeaderBytes } &&
                    header[0] <= kMaxCommandBytes;
    if (complete) {
      command.resize(header[0]);
      complete = pread(mFd, command.data(), command.size(), offset + off_t{ kHeaderBytes }) ==
                   static_cast<ssize_t>(command.size()) &&
                 XXH3_64bits(command.data(), command.size()) == header[1];
    }
    if (!complete) {
      break;
    }
    ApplyNext(command);
    offset += static_cast<off_t>(kHeaderBytes + command.size());
  }
  const int folder = open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool repaired = ftruncate(mFd, offset) == 0 && lseek(mFd, offset, SEEK_SET) == offset &&
                        fsync(mFd) == 0 && folder >= 0 && fsync(folder) == 0;
  if (folder >= 0) {
    close(folder);
  }
  if (!repaired) {
    return tl::unexpected(SystemError("cannot repair " + path));
  }
  return {};
}

bool
LocalLog::Write(const std::string& aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t count = write(mFd, aBytes.data() + written, aBytes.size() - written);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return fdatasync(mFd) == 0;
}

void
LocalLog::Flush()
{
  mFlushTimer = 0;
  std::vector<PendingCommand> batch;
  batch.swap(mPending);
  if (mFd >= 0 && !mFailed) {
    std::string bytes;
    for (const PendingCommand& pending : batch) {
      bytes += EncodeRecord(pending.mCommand);
    }
    mFailed = !Write(bytes);
    mStatus.mLeading = !mFailed;
  }
  for (PendingCommand& pending : batch) {
    if (mFailed) {
      pending.mDone(tl::unexpected(SystemError("cannot write the command log")));
    } else {
      pending.mDone(ApplyNext(pending.mCommand));
    }
  }
}

} // namespace

Expected<std::unique_ptr<ReplicatedLog>>
OpenLocalLog(Loop& aLoop, const std::string& aFolder, LogMember aSelf, StateMachine aMachine)
{
  auto log = std::make_unique<LocalLog>(aLoop, std::move(aSelf), std::move(aMachine));
  if (!aFolder.empty()) {
    if (auto opened = log->Open(aFolder); !opened) {
      return tl::unexpected(opened.error());
    }
  }
  return log;
}

} // namespace apricotyard
