#include "reply_parser.h"

#include <optional>

#include <boost/beast/http/basic_parser.hpp>
#include <strings.h>

namespace apricotyard {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using BeastError = boost::beast::error_code;

// Limit for the headers of a reply. A signature and an identity take less than 1 KiB.
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;
// Limit for the headers and trailers of a reply. Servers send about ten. A parsed header takes up
// to 16 times the memory of its bytes.
constexpr std::size_t kMaxHeaders = 128;
// Limit for interim replies before the final one. Servers send one or two.
constexpr int kMaxInterimReplies = 8;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

std::string_view
ToStringView(string_view aText)
{
  return { aText.data(), aText.size() };
}

// Beast parser that stores the parsed status, headers and body in a ClientReply.
class BeastReplyParser : public http::basic_parser<false>
{
public:
  BeastReplyParser(const ClientRequest& aRequest, ClientReply& aReply)
    : mRequest(aRequest)
    , mReply(aReply)
  {
    eager(true);
    skip(aRequest.mMethod == "HEAD");
    header_limit(kMaxHeaderBytes);
    body_limit(aRequest.mMaxReply);
    mReply.mRawHeaders.clear();
  }

  bool IsMismatched() const { return mMismatched; }
  // Memory that the parsed headers take.
  std::size_t HeaderBytes() const { return mHeaderBytes; }

private:
  void on_request_impl(http::verb, string_view, string_view, int, BeastError&) override {}

  // A status that HTTP does not define says nothing about the request, and a switch of protocols
  // was not asked for.
  void on_response_impl(int aCode, string_view, int, BeastError& aError) override
  {
    if (aCode < kFirstStatus || aCode > kLastStatus || aCode == kSwitchingProtocols) {
      aError = http::error::bad_status;
      return;
    }
    mReply.mStatus = aCode;
  }

  void on_field_impl(http::field,
                     string_view aName,
                     string_view aValue,
                     BeastError& aError) override
  {
    const std::string& expected = mRequest.mExpectedHeader.mName;
    if (!expected.empty() && expected.size() == aName.size() &&
        strncasecmp(expected.data(), aName.data(), aName.size()) == 0) {
      mExpectedHeaderSeen = true;
      if (ToStringView(aValue) != mRequest.mExpectedHeader.mValue) {
        RejectAsMismatched(aError);
      }
    }
    if (mReply.mRawHeaders.size() == kMaxHeaders) {
      aError = http::error::header_limit;
      return;
    }
    mReply.mRawHeaders.push_back(
      { std::string(ToStringView(aName)), std::string(ToStringView(aValue)) });
    mHeaderBytes += sizeof(HttpHeader) + aName.size() + aValue.size();
  }

  void on_header_impl(BeastError& aError) override
  {
    // The body of an interim reply would be taken for the next reply.
    if (mReply.mStatus < kFirstFinalStatus && (chunked() || content_length().value_or(0) != 0)) {
      aError = http::error::bad_value;
      return;
    }
    const bool required =
      !mRequest.mExpectedHeader.mName.empty() && !mRequest.mExpectedHeaderOptional;
    if (required && !mExpectedHeaderSeen && mReply.mStatus >= kFirstFinalStatus) {
      RejectAsMismatched(aError);
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, BeastError&) override {}

  std::size_t on_body_impl(string_view aBytes, BeastError&) override
  {
    mReply.mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, string_view, BeastError&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, string_view aBytes, BeastError&) override
  {
    mReply.mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(BeastError&) override {}

  void RejectAsMismatched(BeastError& aError)
  {
    mMismatched = true;
    aError = http::error::bad_value;
  }

  const ClientRequest& mRequest;
  ClientReply& mReply;
  std::size_t mHeaderBytes = 0;
  bool mExpectedHeaderSeen = false;
  bool mMismatched = false;
};

} // namespace

struct ReplyParser::State
{
  explicit State(const ClientRequest& aRequest)
    : mRequest(aRequest)
  {
    mParser.emplace(aRequest, mReply);
  }

  ParseStep ToParseStep(const BeastError& aError) const
  {
    if (mParser->IsMismatched()) {
      return ParseStep::Mismatched;
    }
    return aError == http::error::body_limit ? ParseStep::TooLarge : ParseStep::Malformed;
  }

  bool IsInterim() const { return mReply.mStatus < kFirstFinalStatus; }

  const ClientRequest& mRequest;
  ClientReply mReply;
  std::optional<BeastReplyParser> mParser;
  // Bytes that the Beast parser has not consumed yet, because a header line is incomplete.
  std::string mUnparsed;
  int mInterimReplies = 0;
  bool mHasInput = false;
};

ReplyParser::ReplyParser(const ClientRequest& aRequest)
  : mState(std::make_unique<State>(aRequest))
{
}

ReplyParser::~ReplyParser() = default;

ParseStep
ReplyParser::Feed(std::string_view aBytes)
{
  State& state = *mState;
  state.mHasInput |= !aBytes.empty();
  state.mUnparsed.append(aBytes);
  std::size_t consumed = 0;
  while (consumed < state.mUnparsed.size()) {
    BeastError error;
    const std::size_t count =
      state.mParser->put(boost::asio::const_buffer(state.mUnparsed.data() + consumed,
                                                   state.mUnparsed.size() - consumed),
                         error);
    consumed += count;
    if (error && error != http::error::need_more) {
      return state.ToParseStep(error);
    }
    if (state.mParser->is_done()) {
      if (!state.IsInterim()) {
        state.mUnparsed.erase(0, consumed);
        return ParseStep::Complete;
      }
      if (++state.mInterimReplies > kMaxInterimReplies) {
        return ParseStep::Malformed;
      }
      state.mParser.emplace(state.mRequest, state.mReply);
    } else if (error || count == 0) {
      break;
    }
  }
  state.mUnparsed.erase(0, consumed);
  // Beast has no limit for the line of a chunk size and for trailers.
  return state.mUnparsed.size() > kMaxHeaderBytes ? ParseStep::Malformed : ParseStep::NeedsMore;
}

ParseStep
ReplyParser::End()
{
  BeastError error;
  if (!mState->mParser->got_some()) {
    return ParseStep::Malformed;
  }
  mState->mParser->put_eof(error);
  return !error && mState->mParser->is_done() ? ParseStep::Complete : ParseStep::Malformed;
}

ClientReply&
ReplyParser::Reply()
{
  return mState->mReply;
}

std::size_t
ReplyParser::BufferedBytes() const
{
  return mState->mReply.mBody.size() + mState->mUnparsed.size() + mState->mParser->HeaderBytes();
}

bool
ReplyParser::HasInput() const
{
  return mState->mHasInput;
}

bool
ReplyParser::IsConnectionReusable() const
{
  return mState->mParser->keep_alive() && mState->mUnparsed.empty();
}

} // namespace apricotyard
