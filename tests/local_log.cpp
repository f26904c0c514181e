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

// A record is a length and a checksum of 8 bytes each, then the command.
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kMaxCommand = std::size_t{ 16 } * 1024 * 1024;

std::string
Record(std::string_view aCommand)
{
  const std::uint64_t header[2] = { aCommand.size(),
                                    XXH3_64bits(aCommand.data(), aCommand.size()) };
  std::string record(reinterpret_cast<const char*>(header), kHeaderBytes);
  record.append(aCommand);
  return record;
}

Error
SystemError(const std::string& aWhat)
{
  return { Result::Internal, fmt::format("{}: {}", aWhat, std::strerror(errno)) };
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
    mLoop.CancelTimer(mTimer);
    if (mFd >= 0) {
      close(mFd);
    }
  }
  LocalLog(const LocalLog&) = delete;
  LocalLog& operator=(const LocalLog&) = delete;

  Expected<void> Open(const std::string& aFolder);

  void Propose(std::string aCommand, OutcomeHandler aDone) override
  {
    if (aCommand.size() > kMaxCommand) {
      aDone(Fail(Result::BodyTooLarge, "the command has more than 16 MiB"));
      return;
    }
    mWaiting.push_back({ std::move(aCommand), std::move(aDone) });
    if (mTimer == 0) {
      mTimer = mLoop.AddTimer(SteadyNow(), [this] { Flush(); });
    }
  }

  void ReadBarrier(DoneHandler aDone) override { aDone({}); }
  void AddLearner(const LogMember& /*aMember*/, DoneHandler aDone) override { RefuseMember(aDone); }
  void Promote(const std::string& /*aMember*/, DoneHandler aDone) override { RefuseMember(aDone); }
  void Remove(const std::string& /*aMember*/, DoneHandler aDone) override { RefuseMember(aDone); }
  LogStatus Status() const override { return mStatus; }

private:
  struct Waiting
  {
    std::string mCommand;
    OutcomeHandler mDone;
  };

  static void RefuseMember(const DoneHandler& aDone)
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
    mStatus.mMembers.front().mMatched = mStatus.mLastIndex;
    return mMachine.mApply(mStatus.mLastIndex, aCommand);
  }

  Loop& mLoop;
  StateMachine mMachine;
  LogStatus mStatus;
  std::vector<Waiting> mWaiting;
  TimerId mTimer = 0;
  int mFd = -1;
  // After a failed write or sync the end of the file is unknown, so nothing more is accepted.
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
    bool whole = pread(mFd, header, kHeaderBytes, offset) == ssize_t{ kHeaderBytes } &&
                 header[0] <= kMaxCommand;
    if (whole) {
      command.resize(header[0]);
      whole = pread(mFd, command.data(), command.size(), offset + off_t{ kHeaderBytes }) ==
                static_cast<ssize_t>(command.size()) &&
              XXH3_64bits(command.data(), command.size()) == header[1];
    }
    if (!whole) {
      break;
    }
    ApplyNext(command);
    offset += static_cast<off_t>(kHeaderBytes + command.size());
  }
  const int folder = open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool good = ftruncate(mFd, offset) == 0 && lseek(mFd, offset, SEEK_SET) == offset &&
                    fsync(mFd) == 0 && folder >= 0 && fsync(folder) == 0;
  if (folder >= 0) {
    close(folder);
  }
  if (!good) {
    return tl::unexpected(SystemError("cannot repair " + path));
  }
  return {};
}

bool
LocalLog::Write(const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t count = write(mFd, aBytes.data() + done, aBytes.size() - done);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return fdatasync(mFd) == 0;
}

void
LocalLog::Flush()
{
  mTimer = 0;
  std::vector<Waiting> batch;
  batch.swap(mWaiting);
  if (mFd >= 0 && !mFailed) {
    std::string bytes;
    for (const Waiting& waiting : batch) {
      bytes += Record(waiting.mCommand);
    }
    mFailed = !Write(bytes);
    mStatus.mLeading = !mFailed;
  }
  for (Waiting& waiting : batch) {
    if (mFailed) {
      waiting.mDone(tl::unexpected(SystemError("cannot write the log of commands")));
    } else {
      waiting.mDone(ApplyNext(waiting.mCommand));
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
