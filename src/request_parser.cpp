#include "request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <boost/beast/http/basic_parser.hpp>
#include <strings.h>

namespace apricotyard {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using BeastError = boost::beast::error_code;

// HTTP/1.0 as Beast writes it.
constexpr int kVersion10 = 10;
constexpr std::string_view kLineEnd = "\r\n";
// Limit for a chunk's size line with its extensions, and for trailers.
constexpr std::size_t kMaxFramingBytes = std::size_t{ 8 } * 1024;

std::string_view
ToStringView(string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string
ToLowerCase(std::string_view aText)
{
  std::string out(aText);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return out;
}

// In a query, a plus sign stands for a blank.
std::string
DecodeArgument(std::string_view aText)
{
  std::string text(aText);
  std::replace(text.begin(), text.end(), '+', ' ');
  return PercentDecode(text);
}

void
ParseArguments(std::string_view aQuery, HttpRequest& aRequest)
{
  while (!aQuery.empty()) {
    const std::size_t end = aQuery.find('&');
    const std::string_view argument = aQuery.substr(0, end);
    const std::size_t equals = argument.find('=');
    if (!argument.empty()) {
      aRequest.mArguments.emplace(
        DecodeArgument(argument.substr(0, equals)),
        equals == std::string_view::npos ? "" : DecodeArgument(argument.substr(equals + 1)));
    }
    aQuery = end == std::string_view::npos ? "" : aQuery.substr(end + 1);
  }
}

// Beast parser that stores the parsed request in an HttpRequest.
class BeastRequestParser : public http::basic_parser<true>
{
public:
  BeastRequestParser(const HttpLimits& aLimits, bool aPreserveRaw, HttpRequest& aRequest)
    : mPreserveRaw(aPreserveRaw)
    , mRequest(aRequest)
  {
    eager(true);
    header_limit(static_cast<std::uint32_t>(aLimits.mMaxHeadBytes));
    body_limit(aLimits.mMaxBodyBytes);
  }

  bool HasDuplicateHeader() const { return mDuplicateHeader; }
  bool IsVersion10() const { return mIsVersion10; }

private:
  void on_request_impl(http::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       BeastError&) override
  {
    mIsVersion10 = aVersion == kVersion10;
    mRequest.mMethod = ToStringView(aMethod);
    const std::string_view target = ToStringView(aTarget);
    const std::size_t question = target.find('?');
    if (mPreserveRaw) {
      mRequest.mTarget = target;
      mRequest.mPath = target.substr(0, question);
      return;
    }
    mRequest.mPath = PercentDecode(target.substr(0, question));
    if (question != std::string_view::npos) {
      ParseArguments(target.substr(question + 1), mRequest);
    }
  }

  void on_response_impl(int, string_view, int, BeastError&) override {}

  void on_field_impl(http::field,
                     string_view aName,
                     string_view aValue,
                     BeastError& aError) override
  {
    // Trailers are not headers.
    if (is_header_done()) {
      return;
    }
    std::string name(ToStringView(aName));
    std::string value(ToStringView(aValue));
    const bool added = mRequest.mHeaders.emplace(ToLowerCase(name), value).second;
    if (mPreserveRaw) {
      mRequest.mRawHeaders.push_back({ std::move(name), std::move(value) });
    } else if (!added) {
      mDuplicateHeader = true;
      aError = http::error::bad_field;
    }
  }

  void on_header_impl(BeastError&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, BeastError&) override {}

  std::size_t on_body_impl(string_view aBytes, BeastError&) override
  {
    mRequest.mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, string_view, BeastError&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, string_view aBytes, BeastError&) override
  {
    mRequest.mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(BeastError&) override {}

  const bool mPreserveRaw;
  HttpRequest& mRequest;
  bool mDuplicateHeader = false;
  bool mIsVersion10 = false;
};

} // namespace

struct RequestParser::State
{
  State(const HttpLimits& aLimits, bool aPreserveRaw)
    : mLimits(aLimits)
    , mPreserveRaw(aPreserveRaw)
    , mParser(aLimits, aPreserveRaw, mRequest)
  {
  }

  RequestStep ReadHead();
  RequestStep ReadBody();
  RequestStep Reject(Result aResult, std::string_view aMessage);
  RequestStep Reject(const BeastError& aError);

  const HttpLimits mLimits;
  const bool mPreserveRaw;
  HttpRequest mRequest;
  BeastRequestParser mParser;
  // Bytes that are not parsed yet.
  std::string mInput;
  // Bytes of mInput that were searched for the end of the head, the complete lines in them and the
  // start of the line after these.
  std::size_t mSearched = 0;
  std::size_t mLines = 0;
  std::size_t mLineStart = 0;
  std::size_t mHeadBytes = 0;
  bool mExpectationTaken = false;
  RequestRejection mRejection;
};

RequestStep
RequestParser::State::Reject(Result aResult, std::string_view aMessage)
{
  mRejection = { aResult, aMessage };
  return RequestStep::Rejected;
}

RequestStep
RequestParser::State::Reject(const BeastError& aError)
{
  if (aError == http::error::body_limit) {
    return Reject(Result::BodyTooLarge, "the body exceeds the limit");
  }
  // A folded header line is limited by the parser itself.
  if (aError == http::error::header_limit) {
    return Reject(Result::HeadTooLarge, "the headers exceed the limit");
  }
  return mParser.HasDuplicateHeader() ? Reject(Result::BadRequest, "a header is given twice")
                                      : Reject(Result::BadRequest, "the request is malformed");
}

// Finds the end of the head before parsing, so that its exact size is checked.
RequestStep
RequestParser::State::ReadHead()
{
  // A client may send an empty line after the body of its last request.
  if (mLines == 0 && mInput.starts_with(kLineEnd)) {
    mInput.erase(0, kLineEnd.size());
    mSearched = 0;
  }
  const std::size_t searchable = std::min(mInput.size(), mLimits.mMaxHeadBytes);
  while (mHeadBytes == 0) {
    const std::size_t end = mInput.find('\n', mSearched);
    if (end == std::string::npos || end >= searchable) {
      mSearched = searchable;
      break;
    }
    if (end == mLineStart || mInput[end - 1] != '\r') {
      return Reject(Result::BadRequest, "a line of the head does not end with CR and LF");
    }
    mSearched = end + 1;
    ++mLines;
    if (end - mLineStart + 1 == kLineEnd.size()) {
      mHeadBytes = mSearched;
    }
    mLineStart = mSearched;
  }
  if (mHeadBytes == 0) {
    if (mInput.size() < mLimits.mMaxHeadBytes) {
      return RequestStep::NeedsMore;
    }
    return mLines == 0 ? Reject(Result::TargetTooLong, "the request line exceeds the limit")
                       : Reject(Result::HeadTooLarge, "the headers exceed the limit");
  }
  // Lines that are no headers: the request line and the empty one.
  constexpr std::size_t kOtherLines = 2;
  if (mLines < kOtherLines) {
    return Reject(Result::BadRequest, "the request line is missing");
  }
  if (mPreserveRaw) {
    mRequest.mRawHeaders.reserve(mLines - kOtherLines);
  }
  BeastError error;
  const std::size_t parsed =
    mParser.put(boost::asio::const_buffer(mInput.data(), mHeadBytes), error);
  if (error && error != http::error::need_more) {
    return Reject(error);
  }
  if (!mParser.is_header_done()) {
    return Reject(Result::BadRequest, "the request is malformed");
  }
  mInput.erase(0, parsed);
  return ReadBody();
}

RequestStep
RequestParser::State::ReadBody()
{
  std::size_t consumed = 0;
  while (!mParser.is_done() && consumed < mInput.size()) {
    BeastError error;
    const std::size_t count = mParser.put(
      boost::asio::const_buffer(mInput.data() + consumed, mInput.size() - consumed), error);
    consumed += count;
    if (error && error != http::error::need_more) {
      return Reject(error);
    }
    if (error || count == 0) {
      break;
    }
  }
  mInput.erase(0, consumed);
  if (mParser.is_done()) {
    return RequestStep::Complete;
  }
  // Beast has no limit for the line of a chunk size and for trailers.
  return mInput.size() > kMaxFramingBytes
           ? Reject(Result::BadRequest, "a chunk size or the trailers exceed the limit")
           : RequestStep::NeedsMore;
}

RequestParser::RequestParser(const HttpLimits& aLimits, bool aPreserveRaw)
  : mState(std::make_unique<State>(aLimits, aPreserveRaw))
{
}

RequestParser::~RequestParser() = default;

RequestStep
RequestParser::Feed(std::string_view aBytes)
{
  mState->mInput.append(aBytes);
  return HasHead() ? mState->ReadBody() : mState->ReadHead();
}

RequestRejection
RequestParser::Rejection() const
{
  return mState->mRejection;
}

bool
RequestParser::HasHead() const
{
  return mState->mParser.is_header_done();
}

bool
RequestParser::TakeExpectation()
{
  if (mState->mExpectationTaken || !HasHead() || mState->mParser.is_done()) {
    return false;
  }
  mState->mExpectationTaken = true;
  const std::string_view expectation = mState->mRequest.Header("expect");
  return strncasecmp(expectation.data(), "100-continue", expectation.size()) == 0 &&
         !expectation.empty();
}

HttpRequest&
RequestParser::Request()
{
  return mState->mRequest;
}

bool
RequestParser::KeepsConnection() const
{
  // HTTP/1.0 needs a header to keep a connection, which the server does not send.
  return mState->mParser.keep_alive() && !mState->mParser.IsVersion10();
}

std::string
RequestParser::TakeRest()
{
  return std::move(mState->mInput);
}

std::size_t
RequestParser::HeadBytes() const
{
  return mState->mHeadBytes != 0 ? mState->mHeadBytes : mState->mInput.size();
}

std::string
PercentDecode(std::string_view aText)
{
  constexpr std::size_t kDigits = 2;
  constexpr int kBase = 16;
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned char byte = 0;
    if (aText[i] == '%' && i + kDigits < aText.size()) {
      const char* const first = aText.data() + i + 1;
      if (std::from_chars(first, first + kDigits, byte, kBase).ptr == first + kDigits) {
        decoded.push_back(static_cast<char>(byte));
        i += kDigits;
        continue;
      }
    }
    decoded.push_back(aText[i]);
  }
  return decoded;
}

} // namespace apricotyard
