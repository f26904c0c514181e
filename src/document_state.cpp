#include "document_state.h"

#include "log.h"

#include <cstring>

#include <zlib.h>

namespace apricotyard {

namespace {

// Documents repeat the same keys; the fastest level already makes them about ten times smaller.
constexpr int kCompressionLevel = 1;
// Larger than any document that is accepted.
constexpr std::uint64_t kMaxDocument = std::uint64_t{ 16 } * 1024 * 1024;

// All members of a group run on the same kind of machine, so the numbers are stored as they are.
struct Header
{
  std::uint64_t mVersion = 0;
  std::uint64_t mSize = 0;
};

} // namespace

std::string
EncodeDocument(const StoredDocument& aDocument)
{
  uLongf size = compressBound(aDocument.mBytes.size());
  std::string data(sizeof(Header) + size, '\0');
  const Header header{ aDocument.mVersion, aDocument.mBytes.size() };
  std::memcpy(data.data(), &header, sizeof(header));
  // Fails only without memory; an empty text is then read back as damaged.
  const int result = compress2(reinterpret_cast<Bytef*>(data.data() + sizeof(header)),
                               &size,
                               reinterpret_cast<const Bytef*>(aDocument.mBytes.data()),
                               aDocument.mBytes.size(),
                               kCompressionLevel);
  data.resize(sizeof(header) + (result == Z_OK ? size : 0));
  return data;
}

Expected<StoredDocument>
DecodeDocument(std::string_view aData)
{
  Header header;
  if (aData.size() < sizeof(header)) {
    return Fail(Result::StorageCorrupt, "a stored document is too short");
  }
  std::memcpy(&header, aData.data(), sizeof(header));
  if (header.mSize > kMaxDocument) {
    return Fail(Result::StorageCorrupt, "a stored document names an impossible size");
  }
  const std::string_view packed = aData.substr(sizeof(header));
  StoredDocument document;
  document.mVersion = header.mVersion;
  document.mBytes.resize(header.mSize);
  uLongf size = header.mSize;
  const int result = uncompress(reinterpret_cast<Bytef*>(document.mBytes.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(packed.data()),
                                packed.size());
  if (header.mSize > 0 && (result != Z_OK || size != header.mSize)) {
    return Fail(Result::StorageCorrupt, "a stored document cannot be unpacked");
  }
  return document;
}

DocumentState::DocumentState(std::function<void()> aOnChange)
  : mOnChange(std::move(aOnChange))
{
}

StateMachine
DocumentState::Machine()
{
  StateMachine machine;
  machine.mApply = [this](std::uint64_t aIndex, std::string_view aCommand) {
    if (auto document = DecodeDocument(aCommand)) {
      Offer(std::move(*document), aCommand);
    } else {
      LogEvent(Event::StateUnreadable,
               { { "index", aIndex }, { "reason", document.error().mMessage } });
    }
    return std::to_string(mCurrent.mVersion);
  };
  machine.mSnapshot = [this] { return mPacked; };
  machine.mRestore = [this](std::string_view aSnapshot) -> Expected<void> {
    if (aSnapshot.empty()) {
      return {};
    }
    auto document = DecodeDocument(aSnapshot);
    if (!document) {
      return tl::unexpected(document.error());
    }
    Offer(std::move(*document), aSnapshot);
    return {};
  };
  return machine;
}

void
DocumentState::Offer(StoredDocument aDocument, std::string_view aPacked)
{
  if (aDocument.mVersion > mCurrent.mVersion) {
    mPacked = aPacked;
    mCurrent = std::move(aDocument);
    mOnChange();
  }
}

} // namespace apricotyard
