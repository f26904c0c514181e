// Guards against accepting a reply that is truncated, malformed or belongs to another request. Each
// reply is fed in pieces of every size, because TCP may split it anywhere.
#include "reply_parser.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

struct ReplyCase
{
  const char* mName;
  const char* mBytes;
  // The server closes the connection after mBytes.
  bool mClosed;
  ParseStep mStep;
  const char* mBody;
  bool mReusable;
};

constexpr ReplyCase kReplyCases[] = {
  { "length",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Complete,
    "ab",
    true },
  { "no body", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n", false, ParseStep::Complete, "", true },
  { "chunks",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
    false,
    ParseStep::Complete,
    "ab",
    true },
  { "interim",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Complete,
    "ab",
    true },
  { "Connection: close",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Complete,
    "ab",
    false },
  { "extra bytes",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200",
    false,
    ParseStep::Complete,
    "ab",
    false },
  { "body until close",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nab",
    true,
    ParseStep::Complete,
    "ab",
    false },
  { "without expected header",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    false,
    ParseStep::Complete,
    "",
    true },
  { "truncated body",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nab",
    true,
    ParseStep::Malformed,
    "ab",
    false },
  { "truncated chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    true,
    ParseStep::Malformed,
    "ab",
    false },
  { "truncated header",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConte",
    true,
    ParseStep::Malformed,
    "",
    false },
  { "nothing", "", true, ParseStep::Malformed, "", false },
  { "reply to another request",
    "HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Mismatched,
    "",
    false },
  { "status 000",
    "HTTP/1.1 000 Odd\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "status 000 before a second reply",
    "HTTP/1.1 000 Odd\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab"
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\ncd",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "status 099",
    "HTTP/1.1 099 Odd\r\nX-Id: 7\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "status 600",
    "HTTP/1.1 600 Odd\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "status 999",
    "HTTP/1.1 999 Odd\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "protocol switch",
    "HTTP/1.1 101 Switching Protocols\r\nX-Id: 7\r\nUpgrade: x\r\n\r\n",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "interim with a body",
    "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\nContent-Length: 57\r\n\r\n"
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "interim with chunks",
    "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "interim with a length of 0",
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Complete,
    "ab",
    true },
  { "not HTTP", "\x01\x02 garbage\r\n\r\n", false, ParseStep::Malformed, "", false },
  { "bad length",
    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    false,
    ParseStep::Malformed,
    "",
    false },
  { "too large",
    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
    false,
    ParseStep::TooLarge,
    "",
    false },
};

// A reply that never ends: mUnit follows mStart again and again.
struct EndlessCase
{
  const char* mName;
  const char* mStart;
  const char* mUnit;
};

constexpr EndlessCase kEndlessCases[] = {
  { "bytes before the status line", "", "x" },
  { "empty lines", "", "\r\n" },
  { "status line", "HTTP/1.1 200 O", "K" },
  { "header line", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
  { "header lines", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n" },
  { "interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "body until close", "HTTP/1.1 200 OK\r\n\r\n", "a" },
  { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n" },
  { "chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
  { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a" },
  { "trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n" },
};

ClientRequest
Request()
{
  ClientRequest request;
  request.mMethod = "GET";
  request.mExpectedHeader = { "x-id", "7" };
  request.mExpectedHeaderOptional = true;
  request.mMaxReply = 50;
  return request;
}

} // namespace

class ReplyParserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplyParserTest);
  CPPUNIT_TEST(ParsesRepliesInPiecesOfEverySize);
  CPPUNIT_TEST(RejectsReplyWithoutRequiredHeader);
  CPPUNIT_TEST(FindsHeadersInAnyCase);
  CPPUNIT_TEST(RejectsEndlessReplies);
  CPPUNIT_TEST(RejectsReplyThatEndsInsideItsHead);
  CPPUNIT_TEST_SUITE_END();

public:
  void RejectsReplyThatEndsInsideItsHead()
  {
    for (const std::string whole :
         { "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\n",
           "HTTP/1.1 200 OK\nX-Id: 7\nContent-Length: 12\n\n",
           "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n",
           "HTTP/1.0 200 OK\r\nX-Id: 7\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
      for (std::size_t length = 0; length < whole.size(); ++length) {
        for (std::size_t pieceSize = 1; pieceSize <= std::max<std::size_t>(length, 1);
             ++pieceSize) {
          const ClientRequest request = Request();
          ReplyParser parser(request);
          ParseStep step = ParseStep::NeedsMore;
          for (std::size_t at = 0; at < length && step == ParseStep::NeedsMore; at += pieceSize) {
            step =
              parser.Feed(std::string_view(whole).substr(at, std::min(pieceSize, length - at)));
          }
          if (step == ParseStep::NeedsMore) {
            step = parser.End();
          }
          CPPUNIT_ASSERT_MESSAGE(whole.substr(0, length), step == ParseStep::Malformed);
        }
      }
    }
  }

  void ParsesRepliesInPiecesOfEverySize()
  {
    for (const ReplyCase& testCase : kReplyCases) {
      const std::string_view bytes = testCase.mBytes;
      for (std::size_t pieceSize = 1; pieceSize <= std::max<std::size_t>(bytes.size(), 1);
           ++pieceSize) {
        const ClientRequest request = Request();
        ReplyParser parser(request);
        ParseStep step = ParseStep::NeedsMore;
        std::size_t offset = 0;
        for (; offset < bytes.size() && step == ParseStep::NeedsMore; offset += pieceSize) {
          step = parser.Feed(bytes.substr(offset, pieceSize));
        }
        if (step == ParseStep::NeedsMore && testCase.mClosed) {
          step = parser.End();
        }
        CPPUNIT_ASSERT_MESSAGE(testCase.mName, step == testCase.mStep);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          testCase.mName, std::string(testCase.mBody), parser.Reply().mBody);
        // Extra bytes that are not fed yet would be found by the client, which watches idle
        // connections.
        if (step == ParseStep::Complete && offset >= bytes.size()) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
            testCase.mName, testCase.mReusable, parser.IsConnectionReusable());
        }
      }
    }
  }

  void RejectsReplyWithoutRequiredHeader()
  {
    ClientRequest request = Request();
    request.mExpectedHeaderOptional = false;
    ReplyParser parser(request);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") ==
                   ParseStep::Mismatched);
  }

  void FindsHeadersInAnyCase()
  {
    const ClientRequest request = Request();
    ReplyParser parser(request);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\nX-ID: 7\r\nKeep-Alive:  timeout=5 \r\n"
                               "Content-Length: 0\r\n\r\n") == ParseStep::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), std::string(parser.Reply().Header("x-id")));
    CPPUNIT_ASSERT_EQUAL(std::string("timeout=5"),
                         std::string(parser.Reply().Header("keep-alive")));
  }

  // A server in trouble may send without end. The parser must give up after the limits of a head
  // and a body, whatever the pieces, and hold no more than these meanwhile.
  void RejectsEndlessReplies()
  {
    constexpr std::size_t kMaxFed = std::size_t{ 256 } * 1024;
    constexpr std::size_t kMaxHeld = std::size_t{ 64 } * 1024;
    for (const EndlessCase& testCase : kEndlessCases) {
      for (const std::size_t pieceSize : { std::size_t{ 1 }, std::size_t{ 1000 } }) {
        std::string piece;
        while (piece.size() < pieceSize) {
          piece += testCase.mUnit;
        }
        const ClientRequest request = Request();
        ReplyParser parser(request);
        ParseStep step = parser.Feed(testCase.mStart);
        std::size_t fed = 0;
        for (; fed < kMaxFed && step == ParseStep::NeedsMore; fed += piece.size()) {
          step = parser.Feed(piece);
          CPPUNIT_ASSERT_MESSAGE(testCase.mName, parser.BufferedBytes() <= kMaxHeld);
        }
        CPPUNIT_ASSERT_MESSAGE(testCase.mName,
                               step == ParseStep::Malformed || step == ParseStep::TooLarge);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplyParserTest);
