#include "document_state.h"

#include "log.h"

#include <cstring>

#include <zlib.h>

namespace apricotyard {

namespace {

// Documents repeat the same keys, so even the fastest level compresses them about tenfold.
constexpr int kCompressionLevel = 1;
// Exceeds the largest accepted document. Limits the allocation for a damaged size field.
constexpr std::uint64_t kMaxDocumentBytes = std::uint64_t{ 16 } * 1024 * 1024;

// Stored in native byte order, because all members of a group run on the same architecture.
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
  // Can fail only if memory runs out. The compressed data is then empty, and DecodeDocument reports
  // it as corrupt.
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
    return Fail(Result::StorageCorrupt, "stored document is shorter than its header");
  }
  std::memcpy(&header, aData.data(), sizeof(header));
  if (header.mSize > kMaxDocumentBytes) {
    return Fail(Result::StorageCorrupt, "stored document declares a size above the limit");
  }
  const std::string_view compressed = aData.substr(sizeof(header));
  StoredDocument document;
  document.mVersion = header.mVersion;
  document.mBytes.resize(header.mSize);
  uLongf size = header.mSize;
  const int result = uncompress(reinterpret_cast<Bytef*>(document.mBytes.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(compressed.data()),
                                compressed.size());
  if (header.mSize > 0 && (result != Z_OK || size != header.mSize)) {
    return Fail(Result::StorageCorrupt, "stored document cannot be decompressed");
  }
  return document;
}

DocumentState::DocumentState(std::function<void()> aOnChange)
  : mOnChange(std::move(aOnChange))
{
}

StateMachine
DocumentState::MakeStateMachine()
{
  StateMachine machine;
  machine.mApply = [this](std::uint64_t aIndex, std::string_view aCommand) {
    if (auto document = DecodeDocument(aCommand)) {
      StoreIfNewer(std::move(*document), aCommand);
    } else {
      LogEvent(Event::StateUnreadable,
               { { "index", aIndex }, { "reason", document.error().mMessage } });
    }
    return std::to_string(mCurrent.mVersion);
  };
  machine.mSnapshot = [this] { return mEncoded; };
  machine.mRestore = [this](std::string_view aSnapshot) -> Expected<void> {
    if (aSnapshot.empty()) {
      return {};
    }
    auto document = DecodeDocument(aSnapshot);
    if (!document) {
      return tl::unexpected(document.error());
    }
    StoreIfNewer(std::move(*document), aSnapshot);
    return {};
  };
  return machine;
}

void
DocumentState::StoreIfNewer(StoredDocument aDocument, std::string_view aEncoded)
{
  if (aDocument.mVersion > mCurrent.mVersion) {
    mEncoded = aEncoded;
    mCurrent = std::move(aDocument);
    mOnChange();
  }
}

} // namespace apricotyard
