#include "latest_file.h"

#include "log.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

namespace apricotyard {

LatestFile::LatestFile(std::string aPath)
  : mPath(std::move(aPath))
  , mThread([this] { ThreadMain(); })
{
}

LatestFile::~LatestFile()
{
  {
    absl::MutexLock lock(&mMutex);
    mStopping = true;
  }
  mThread.join();
}

void
LatestFile::Save(std::string aData, std::function<void(bool)> aOnWritten)
{
  absl::MutexLock lock(&mMutex);
  mPendingData = std::move(aData);
  mOnPendingWritten = std::move(aOnWritten);
  mHasPending = true;
}

std::string
LatestFile::Load(const std::string& aPath)
{
  constexpr std::size_t kChunkBytes = 65536;
  std::string data;
  const int fd = open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return data;
  }
  std::array<char, kChunkBytes> chunk{};
  ssize_t got = 0;
  while ((got = read(fd, chunk.data(), chunk.size())) > 0) {
    data.append(chunk.data(), static_cast<std::size_t>(got));
  }
  close(fd);
  return got < 0 ? std::string() : data;
}

// Writes a temporary file and renames it, so that readers always see a complete file.
bool
LatestFile::Write(const std::string& aData) const
{
  constexpr mode_t kMode = 0600;
  const std::string temporary = mPath + ".new";
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kMode);
  if (fd < 0) {
    return false;
  }
  const ssize_t written = write(fd, aData.data(), aData.size());
  const bool complete = written == static_cast<ssize_t>(aData.size()) && fdatasync(fd) == 0;
  close(fd);
  return complete && rename(temporary.c_str(), mPath.c_str()) == 0;
}

void
LatestFile::ThreadMain()
{
  for (;;) {
    std::string data;
    std::function<void(bool)> onWritten;
    {
      absl::MutexLock lock(&mMutex);
      const auto due = [this]()
                         ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) { return mHasPending || mStopping; };
      mMutex.Await(absl::Condition(&due));
      if (mStopping) {
        return;
      }
      data = std::move(mPendingData);
      onWritten = std::move(mOnPendingWritten);
      mHasPending = false;
    }
    const bool written = Write(data);
    if (!written) {
      LogEvent(Event::HintNotWritten, { { "file", mPath }, { "reason", std::strerror(errno) } });
    }
    if (onWritten) {
      onWritten(written);
    }
  }
}

} // namespace apricotyard
