// Guards against replies that are cut short, spoiled or another request's and yet look whole,
// whatever the pieces in which their bytes arrive.
#include "reply_parser.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

struct ReplyRow
{
  const char* mName;
  const char* mBytes;
  // Whether the server closes the connection after these bytes.
  bool mClosed;
  ParseStep mStep;
  const char* mBody;
  bool mKeeps;
};

constexpr ReplyRow kRows[] = {
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
  { "asks to close",
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
  { "until the close",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nab",
    true,
    ParseStep::Complete,
    "ab",
    false },
  { "no identity",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    false,
    ParseStep::Complete,
    "",
    true },
  { "cut in the body",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nab",
    true,
    ParseStep::Malformed,
    "ab",
    false },
  { "cut in the chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    true,
    ParseStep::Malformed,
    "ab",
    false },
  { "cut in the header",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConte",
    true,
    ParseStep::Malformed,
    "",
    false },
  { "nothing", "", true, ParseStep::Malformed, "", false },
  { "another request's",
    "HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 2\r\n\r\nab",
    false,
    ParseStep::Mismatched,
    "",
    false },
  { "no reply", "\x01\x02 garbage\r\n\r\n", false, ParseStep::Malformed, "", false },
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

ClientRequest
Request()
{
  ClientRequest request;
  request.mMethod = "GET";
  request.mExpectedHeader = { "x-id", "7" };
  request.mExpectedOptional = true;
  request.mMaxReply = 50;
  return request;
}

} // namespace

class ReplyParserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplyParserTest);
  CPPUNIT_TEST(ReadsRepliesInPiecesOfEverySize);
  CPPUNIT_TEST(RequiredIdentityMustBeThere);
  CPPUNIT_TEST(HeadersAreFoundInAnyCase);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsRepliesInPiecesOfEverySize()
  {
    for (const ReplyRow& row : kRows) {
      const std::string_view bytes = row.mBytes;
      for (std::size_t size = 1; size <= std::max<std::size_t>(bytes.size(), 1); ++size) {
        const ClientRequest request = Request();
        ReplyParser parser(request);
        ParseStep step = ParseStep::NeedsMore;
        std::size_t at = 0;
        for (; at < bytes.size() && step == ParseStep::NeedsMore; at += size) {
          step = parser.Feed(bytes.substr(at, size));
        }
        if (step == ParseStep::NeedsMore && row.mClosed) {
          step = parser.End();
        }
        CPPUNIT_ASSERT_MESSAGE(row.mName, step == row.mStep);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, std::string(row.mBody), parser.Reply().mBody);
        // Extra bytes in a later piece are met by whoever watches the idle connection.
        if (step == ParseStep::Complete && at >= bytes.size()) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mKeeps, parser.IsConnectionReusable());
        }
      }
    }
  }

  void RequiredIdentityMustBeThere()
  {
    ClientRequest request = Request();
    request.mExpectedOptional = false;
    ReplyParser parser(request);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") ==
                   ParseStep::Mismatched);
  }

  void HeadersAreFoundInAnyCase()
  {
    const ClientRequest request = Request();
    ReplyParser parser(request);
    CPPUNIT_ASSERT(parser.Feed("HTTP/1.1 200 OK\r\nX-ID: 7\r\nKeep-Alive:  timeout=5 \r\n"
                               "Content-Length: 0\r\n\r\n") == ParseStep::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), std::string(parser.Reply().Header("x-id")));
    CPPUNIT_ASSERT_EQUAL(std::string("timeout=5"),
                         std::string(parser.Reply().Header("keep-alive")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplyParserTest);
