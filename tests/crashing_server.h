// Servers that end like a crashed process, and addresses that answer nothing.
#ifndef APRICOTYARD_CRASHING_SERVER_H
#define APRICOTYARD_CRASHING_SERVER_H

#include "loop.h"
#include "types.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// Opens a non-blocking listening socket.
int
OpenListener(const SocketAddress& aAddress, int aBacklog = 8);

// Address at which connections hang, as behind a partition: nobody accepts them, and the queue of
// the kernel is full. The first connection is established and stays silent if aTakesFirst is true.
class SilentAddress
{
public:
  SilentAddress(const SocketAddress& aAddress, bool aTakesFirst);
  ~SilentAddress();
  SilentAddress(const SilentAddress&) = delete;
  SilentAddress& operator=(const SilentAddress&) = delete;

  // Accepts the connections that are established, so that others can follow. Returns how many bytes
  // arrived on all of them since the start.
  std::size_t AcceptAndRead();

private:
  int mListener;
  std::vector<int> mFillers;
  std::vector<int> mAccepted;
  std::size_t mBytes = 0;
};

// What the connections and the address of a crashed server do.
enum class CrashKind : std::uint8_t
{
  Close,       // connections are closed, new ones are refused
  Reset,       // connections are reset, new ones are refused
  ResetSilent, // connections are reset, new ones hang
  Silent,      // all connections hang
};

struct CrashingServerSettings
{
  SocketAddress mAddress;
  // Gets the method and the path of a request, and returns whether it crashes the server.
  std::function<bool(const std::string&)> mCrashes;
  // Makes the reply to a request without a body from its head.
  std::function<std::string(const std::string&)> mReply = [](const std::string&) {
    return "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nContent-Length: 0\r\n\r\n";
  };
  // Time from the arrival of a request to its reply, or to the crash.
  Duration mWorkTime{};
  CrashKind mKind = CrashKind::Close;
  // Called after each crash.
  std::function<void()> mOnCrash;
};

// Server that ends like a crashed process on some requests. Answers requests without a body only.
// Not thread-safe.
class CrashingServer
{
public:
  CrashingServer(Loop& aLoop, CrashingServerSettings aSettings);
  ~CrashingServer() { Stop(); }
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  // Precondition: the server does not listen.
  void Start();
  bool IsListening() const { return mListener >= 0; }
  std::size_t CrashCount() const { return mCrashCount; }

private:
  void Close(int aFd);
  void Stop();
  void Read(int aFd);
  void Finish(int aFd, std::uint64_t aNumber, const std::string& aHead);
  void Crash();

  Loop& mLoop;
  const CrashingServerSettings mSettings;
  int mListener = -1;
  struct Connection
  {
    // Tells connections with the same descriptor apart.
    std::uint64_t mNumber = 0;
    std::string mInput;
  };
  std::map<int, Connection> mConnections;
  std::uint64_t mAccepted = 0;
  std::size_t mCrashCount = 0;
  std::unique_ptr<SilentAddress> mSilent;
};

} // namespace apricotyard

#endif
