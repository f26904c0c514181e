// Servers may reply before they have read the whole request. Guards against a reply without a
// length that is reset on the way and passes for whole, because the client was still sending.
#include "http_client.h"
#include "test_address.h"

#include <optional>

#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

const std::string kIp = TestIp(32);
constexpr std::uint16_t kPort = 7970;
// More than the sockets of both sides hold, so that the client cannot send it all.
constexpr std::size_t kLargeRequest = std::size_t{ 16 } * 1024 * 1024;
constexpr const char* kHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
constexpr const char* kHeadWithLength =
  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
constexpr const char* kPart = "half";

enum class Ending
{
  Reset,
  // Ends the server's side of the connection and goes on reading.
  Shutdown,
  // Ends the server's side and resets the connection right after it.
  ShutdownAndReset,
};

// Accepts one connection, replies to the first bytes of the request and ends the connection shortly
// after it.
class EarlyServer
{
public:
  EarlyServer(Loop& aLoop, std::string aReply, Ending aEnding)
    : mLoop(aLoop)
    , mReply(std::move(aReply))
    , mEnding(aEnding)
    , mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    const int enable = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    constexpr int kReceiveBuffer = 4096;
    setsockopt(mListener, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    inet_pton(AF_INET, kIp.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0,
                         bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    CPPUNIT_ASSERT_EQUAL(0, listen(mListener, 1));
    mLoop.AddFd(mListener, EPOLLIN, [this](std::uint32_t) {
      mPeer = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
      mLoop.AddFd(mPeer, EPOLLIN, [this](std::uint32_t) { Read(); });
    });
  }
  ~EarlyServer()
  {
    mLoop.RemoveFd(mListener);
    close(mListener);
    ClosePeer();
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;

private:
  void Read()
  {
    char buffer[1024];
    const ssize_t count = read(mPeer, buffer, sizeof(buffer));
    if (count <= 0 && errno != EAGAIN) {
      ClosePeer();
    } else if (!mReplied) {
      mReplied = true;
      CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(mReply.size()),
                           send(mPeer, mReply.data(), mReply.size(), MSG_NOSIGNAL));
      if (mEnding != Ending::Shutdown) {
        mLoop.RemoveFd(mPeer);
      }
      mLoop.AddTimer(SteadyNow() + milliseconds(30), [this] { End(); });
    }
  }

  void End()
  {
    if (mEnding != Ending::Reset) {
      shutdown(mPeer, SHUT_WR);
    }
    if (mEnding != Ending::Shutdown) {
      const linger reset{ 1, 0 };
      setsockopt(mPeer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(mPeer);
      mPeer = -1;
    }
  }

  void ClosePeer()
  {
    if (mPeer >= 0) {
      mLoop.RemoveFd(mPeer);
      close(mPeer);
      mPeer = -1;
    }
  }

  Loop& mLoop;
  const std::string mReply;
  const Ending mEnding;
  int mListener;
  int mPeer = -1;
  bool mReplied = false;
};

ClientReply
SendTo(const std::string& aServerReply, Ending aEnding, std::size_t aRequestBytes)
{
  Loop loop;
  EarlyServer server(loop, aServerReply, aEnding);
  HttpClient client(loop, "", 1);
  ClientRequest request;
  request.mAddress = { kIp, kPort };
  request.mBody = std::string(aRequestBytes, 'x');
  request.mTimeout = std::chrono::seconds(5);
  std::optional<ClientReply> result;
  client.Send(std::move(request), [&](ClientReply aReply) {
    result = std::move(aReply);
    loop.Stop();
  });
  loop.Run();
  CPPUNIT_ASSERT(result.has_value());
  return *std::move(result);
}

} // namespace

class EarlyRepliesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EarlyRepliesTest);
  CPPUNIT_TEST(ResetReplyIsLostWhileRequestIsSent);
  CPPUNIT_TEST(ResetReplyIsLostAfterRequestIsSent);
  CPPUNIT_TEST(ClosedReplyIsComplete);
  CPPUNIT_TEST(ResetAfterEndOfReplyIsComplete);
  CPPUNIT_TEST(ResetAfterReplyWithLengthIsComplete);
  CPPUNIT_TEST_SUITE_END();

public:
  void ResetReplyIsLostWhileRequestIsSent()
  {
    const ClientReply reply = SendTo(std::string(kHead) + kPart, Ending::Reset, kLargeRequest);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Lost);
    CPPUNIT_ASSERT(reply.mConnectionEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("Connection reset by peer"), reply.mMessage);
  }

  void ResetReplyIsLostAfterRequestIsSent()
  {
    const ClientReply reply = SendTo(std::string(kHead) + kPart, Ending::Reset, 1);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Lost);
    CPPUNIT_ASSERT(reply.mConnectionEnded);
  }

  void ClosedReplyIsComplete()
  {
    const ClientReply reply = SendTo(std::string(kHead) + kPart, Ending::Shutdown, kLargeRequest);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string(kPart), reply.mBody);
  }

  // The reset comes after the end of the stream, so nothing of the reply is missing.
  void ResetAfterEndOfReplyIsComplete()
  {
    const ClientReply reply =
      SendTo(std::string(kHead) + kPart, Ending::ShutdownAndReset, kLargeRequest);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string(kPart), reply.mBody);
  }

  void ResetAfterReplyWithLengthIsComplete()
  {
    const ClientReply reply =
      SendTo(std::string(kHeadWithLength) + kPart, Ending::Reset, kLargeRequest);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string(kPart), reply.mBody);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyRepliesTest);
