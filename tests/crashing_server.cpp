#include "crashing_server.h"

#include "socket_address.h"

#include <array>
#include <cerrno>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Connections that the kernel establishes for a backlog of 0.
constexpr int kQueueLength = 1;

void
ResetOnClose(int aFd)
{
  const linger noLinger{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
}

} // namespace

int
OpenListener(const SocketAddress& aAddress, int aBacklog)
{
  const auto native = ToNative(aAddress);
  CPPUNIT_ASSERT(native.has_value());
  const int fd = socket(native->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  CPPUNIT_ASSERT_EQUAL(0, bind(fd, native->Raw(), native->mLength));
  CPPUNIT_ASSERT_EQUAL(0, listen(fd, aBacklog));
  return fd;
}

SilentAddress::SilentAddress(const SocketAddress& aAddress, bool aTakesFirst)
  : mListener(OpenListener(aAddress, 0))
{
  for (int i = aTakesFirst ? 1 : 0; i < kQueueLength; ++i) {
    const auto native = ToNative(aAddress);
    const int fd =
      socket(native->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    CPPUNIT_ASSERT(connect(fd, native->Raw(), native->mLength) == 0 || errno == EINPROGRESS);
    mFillers.push_back(fd);
  }
}

std::size_t
SilentAddress::AcceptAndRead()
{
  for (int fd = 0;
       (fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    mAccepted.push_back(fd);
  }
  std::array<char, 4096> buffer{};
  for (const int fd : mAccepted) {
    for (ssize_t size = 0; (size = read(fd, buffer.data(), buffer.size())) > 0;) {
      mBytes += static_cast<std::size_t>(size);
    }
  }
  return mBytes;
}

SilentAddress::~SilentAddress()
{
  for (const std::vector<int>* const fds : { &mFillers, &mAccepted }) {
    for (const int fd : *fds) {
      close(fd);
    }
  }
  close(mListener);
}

CrashingServer::CrashingServer(Loop& aLoop, CrashingServerSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
{
  Start();
}

void
CrashingServer::Start()
{
  constexpr int kBacklog = 64;
  mSilent.reset();
  mListener = OpenListener(mSettings.mAddress, kBacklog);
  mLoop.AddFd(mListener, EPOLLIN, [this](std::uint32_t) {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      mConnections[fd] = { ++mAccepted, {} };
      mLoop.AddFd(fd, EPOLLIN, [this, fd](std::uint32_t) { Read(fd); });
    }
  });
}

void
CrashingServer::Close(int aFd)
{
  mLoop.RemoveFd(aFd);
  close(aFd);
}

void
CrashingServer::Stop()
{
  if (mListener >= 0) {
    Close(std::exchange(mListener, -1));
  }
  for (const auto& [fd, connection] : std::exchange(mConnections, {})) {
    Close(fd);
  }
}

void
CrashingServer::Crash()
{
  ++mCrashCount;
  if (mSettings.mKind == CrashKind::Silent) {
    // The connections stay open in the kernel.
    for (const auto& [fd, connection] : std::exchange(mConnections, {})) {
      mLoop.RemoveFd(fd);
    }
  } else if (mSettings.mKind != CrashKind::Close) {
    for (const auto& [fd, connection] : mConnections) {
      ResetOnClose(fd);
    }
  }
  Stop();
  if (mSettings.mKind == CrashKind::Silent || mSettings.mKind == CrashKind::ResetSilent) {
    mSilent = std::make_unique<SilentAddress>(mSettings.mAddress, false);
  }
  if (mSettings.mOnCrash) {
    mSettings.mOnCrash();
  }
}

void
CrashingServer::Read(int aFd)
{
  std::array<char, 4096> buffer;
  const ssize_t count = recv(aFd, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    Close(aFd);
    mConnections.erase(aFd);
    return;
  }
  Connection& connection = mConnections[aFd];
  connection.mInput.append(buffer.data(), static_cast<std::size_t>(count));
  if (connection.mInput.find("\r\n\r\n") == std::string::npos) {
    return;
  }
  const std::string head = std::exchange(connection.mInput, {});
  if (mSettings.mWorkTime == Duration::zero()) {
    Finish(aFd, connection.mNumber, head);
    return;
  }
  mLoop.AddTimer(SteadyNow() + mSettings.mWorkTime,
                 [this, aFd, number = connection.mNumber, head] { Finish(aFd, number, head); });
}

void
CrashingServer::Finish(int aFd, std::uint64_t aNumber, const std::string& aHead)
{
  const auto connection = mConnections.find(aFd);
  if (connection == mConnections.end() || connection->second.mNumber != aNumber) {
    return;
  }
  if (mSettings.mCrashes(aHead.substr(0, aHead.find(' ', 4)))) {
    Crash();
    return;
  }
  const std::string reply = mSettings.mReply(aHead);
  send(aFd, reply.data(), reply.size(), MSG_NOSIGNAL);
}

} // namespace apricotyard
