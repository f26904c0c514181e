#include "reply_parser.h"

#include <optional>

#include <boost/beast/http/basic_parser.hpp>
#include <strings.h>

namespace apricotyard {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using BeastError = boost::beast::error_code;

// Headers of a reply; a signature and an identity take less than 1 KiB.
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

std::string_view
View(string_view aText)
{
  return { aText.data(), aText.size() };
}

// Writes what the parser reads into a reply.
class Reader : public http::basic_parser<false>
{
public:
  Reader(const ClientRequest& aRequest, ClientReply& aReply)
    : mRequest(aRequest)
    , mReply(aReply)
  {
    eager(true);
    skip(aRequest.mMethod == "HEAD");
    header_limit(kMaxHeaderBytes);
    body_limit(aRequest.mMaxReply);
    mReply.mHeaderList.clear();
  }

  bool Crossed() const { return mCrossed; }

private:
  void on_request_impl(http::verb, string_view, string_view, int, BeastError&) override {}

  void on_response_impl(int aCode, string_view, int, BeastError&) override
  {
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
      mExpectedSeen = true;
      if (View(aValue) != mRequest.mExpectedHeader.mValue) {
        Reject(aError);
      }
    }
    mReply.mHeaderList.push_back({ std::string(View(aName)), std::string(View(aValue)) });
  }

  void on_header_impl(BeastError& aError) override
  {
    const bool required = !mRequest.mExpectedHeader.mName.empty() && !mRequest.mExpectedOptional;
    if (required && !mExpectedSeen && mReply.mStatus >= kFirstFinalStatus) {
      Reject(aError);
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

  void Reject(BeastError& aError)
  {
    mCrossed = true;
    aError = http::error::bad_value;
  }

  const ClientRequest& mRequest;
  ClientReply& mReply;
  bool mExpectedSeen = false;
  bool mCrossed = false;
};

} // namespace

struct ReplyParser::State
{
  explicit State(const ClientRequest& aRequest)
    : mRequest(aRequest)
  {
    mReader.emplace(aRequest, mReply);
  }

  ParseStep StepOf(const BeastError& aError) const
  {
    if (mReader->Crossed()) {
      return ParseStep::Crossed;
    }
    return aError == http::error::body_limit ? ParseStep::TooLarge : ParseStep::Malformed;
  }

  bool IsInterim() const
  {
    return mReply.mStatus < kFirstFinalStatus && mReply.mStatus != kSwitchingProtocols;
  }

  const ClientRequest& mRequest;
  ClientReply mReply;
  std::optional<Reader> mReader;
  // Bytes that the parser has not taken yet, because a line of the header is not complete.
  std::string mRest;
  bool mBegun = false;
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
  state.mBegun |= !aBytes.empty();
  state.mRest.append(aBytes);
  std::size_t used = 0;
  while (used < state.mRest.size()) {
    BeastError error;
    const std::size_t taken = state.mReader->put(
      boost::asio::const_buffer(state.mRest.data() + used, state.mRest.size() - used), error);
    used += taken;
    if (error && error != http::error::need_more) {
      return state.StepOf(error);
    }
    if (state.mReader->is_done()) {
      if (!state.IsInterim()) {
        state.mRest.erase(0, used);
        return ParseStep::Complete;
      }
      state.mReader.emplace(state.mRequest, state.mReply);
    } else if (error || taken == 0) {
      break;
    }
  }
  state.mRest.erase(0, used);
  return ParseStep::NeedsMore;
}

ParseStep
ReplyParser::End()
{
  BeastError error;
  if (!mState->mReader->got_some()) {
    return ParseStep::Malformed;
  }
  mState->mReader->put_eof(error);
  return !error && mState->mReader->is_done() ? ParseStep::Complete : ParseStep::Malformed;
}

ClientReply&
ReplyParser::Reply()
{
  return mState->mReply;
}

bool
ReplyParser::Begun() const
{
  return mState->mBegun;
}

bool
ReplyParser::KeepsConnection() const
{
  return mState->mReader->keep_alive() && mState->mRest.empty();
}

} // namespace apricotyard
