#include "document_state.h"

#include "log.h"

#include <cstring>

#include <fmt/format.h>
#include <fmt/ranges.h>
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

// Precedes the list of evacuations in a snapshot. The tag names the kind of the part, so that
// others can be added.
struct PartHeader
{
  std::uint64_t mTag = 0;
  std::uint64_t mSize = 0;
};

// "APEVACS1" as it is read in native byte order.
constexpr std::uint64_t kEvacuationsTag = 0x3153'4341'5645'5041;

struct UnpackedDocument
{
  StoredDocument mDocument;
  // Size of the header and the compressed document.
  std::size_t mPackedSize = 0;
};

Expected<UnpackedDocument>
Unpack(std::string_view aData)
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
  UnpackedDocument unpacked;
  unpacked.mDocument.mVersion = header.mVersion;
  unpacked.mDocument.mBytes.resize(header.mSize);
  uLongf size = header.mSize;
  uLong used = compressed.size();
  const int result = uncompress2(reinterpret_cast<Bytef*>(unpacked.mDocument.mBytes.data()),
                                 &size,
                                 reinterpret_cast<const Bytef*>(compressed.data()),
                                 &used);
  if (header.mSize > 0 && (result != Z_OK || size != header.mSize)) {
    return Fail(Result::StorageCorrupt, "stored document cannot be decompressed");
  }
  unpacked.mPackedSize = sizeof(header) + (result == Z_OK ? used : compressed.size());
  return unpacked;
}

// The list in what follows the document of a snapshot; empty with revision 0 if there is none.
// Parts with other tags are skipped.
Expected<Evacuations>
FindEvacuations(std::string_view aParts)
{
  while (aParts.size() >= sizeof(PartHeader)) {
    PartHeader header;
    std::memcpy(&header, aParts.data(), sizeof(header));
    aParts.remove_prefix(sizeof(header));
    if (header.mSize > aParts.size()) {
      return Fail(Result::StorageCorrupt, "a part of the snapshot is truncated");
    }
    if (header.mTag == kEvacuationsTag) {
      return DecodeEvacuations(aParts.substr(0, header.mSize));
    }
    aParts.remove_prefix(header.mSize);
  }
  if (!aParts.empty()) {
    return Fail(Result::StorageCorrupt, "a part of the snapshot is truncated");
  }
  return Evacuations();
}

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
  auto unpacked = Unpack(aData);
  if (!unpacked) {
    return tl::unexpected(unpacked.error());
  }
  return std::move(unpacked->mDocument);
}

std::string
EncodeOrderCommand(const EvacuationOrder& aOrder)
{
  return EncodeDocument({ 0, EncodeOrder(aOrder) });
}

Expected<std::optional<EvacuationOrder>>
DecodeOrderCommand(std::string_view aCommand)
{
  DocumentVersion version = 0;
  if (aCommand.size() >= sizeof(Header)) {
    Header header;
    std::memcpy(&header, aCommand.data(), sizeof(header));
    version = header.mVersion;
  }
  // Documents are much larger and need not be decompressed to find out.
  if (version != 0) {
    return std::nullopt;
  }
  const auto command = DecodeDocument(aCommand);
  if (!command) {
    return tl::unexpected(command.error());
  }
  auto order = DecodeOrder(command->mBytes);
  if (!order) {
    return tl::unexpected(order.error());
  }
  return *std::move(order);
}

std::set<std::string>
EvacuationsBegunBy(std::span<const std::string> aCommands)
{
  std::set<std::string> begun;
  for (const std::string& command : aCommands) {
    const auto order = DecodeOrderCommand(command);
    if (order && *order && !(*order)->mEnd) {
      begun.insert((*order)->mDataCentre);
    }
  }
  return begun;
}

bool
IsStateCurrent(const LogStatus& aStatus)
{
  return (aStatus.mLeading || !aStatus.mLeader.empty()) && aStatus.mAppliedTerm == aStatus.mTerm;
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
    ApplyCommand(aIndex, aCommand);
    return std::to_string(mCurrent.mVersion);
  };
  machine.mSnapshot = [this] { return MakeSnapshot(); };
  machine.mRestore = [this](std::string_view aSnapshot) { return RestoreSnapshot(aSnapshot); };
  return machine;
}

void
DocumentState::ApplyCommand(std::uint64_t aIndex, std::string_view aCommand)
{
  const auto order = DecodeOrderCommand(aCommand);
  if (order && *order) {
    const bool changed = ApplyOrder(mEvacuations, **order, aIndex);
    LogEvent(Event::EvacuationOrdered,
             { { "data_centre", (*order)->mDataCentre },
               { "end", (*order)->mEnd },
               { "changed", changed },
               { "revision", mEvacuations.mRevision },
               { "evacuated", fmt::format("{}", fmt::join(mEvacuations.mDataCentres, ",")) } });
    return;
  }
  auto document = order ? DecodeDocument(aCommand) : tl::unexpected(order.error());
  if (document) {
    StoreIfNewer(std::move(*document), aCommand);
  } else {
    LogEvent(Event::StateUnreadable,
             { { "index", aIndex }, { "reason", document.error().mMessage } });
  }
}

std::string
DocumentState::MakeSnapshot() const
{
  if (mEvacuations.mRevision == 0) {
    return mEncoded;
  }
  const std::string list = EncodeEvacuations(mEvacuations);
  const PartHeader header{ kEvacuationsTag, list.size() };
  std::string snapshot = mEncoded.empty() ? EncodeDocument({}) : mEncoded;
  snapshot.append(reinterpret_cast<const char*>(&header), sizeof(header));
  return snapshot + list;
}

Expected<void>
DocumentState::RestoreSnapshot(std::string_view aSnapshot)
{
  if (aSnapshot.empty()) {
    return {};
  }
  auto unpacked = Unpack(aSnapshot);
  if (!unpacked) {
    return tl::unexpected(unpacked.error());
  }
  auto evacuations = FindEvacuations(aSnapshot.substr(unpacked->mPackedSize));
  if (!evacuations) {
    return tl::unexpected(evacuations.error());
  }
  // A snapshot of an earlier build has no list.
  if (evacuations->mRevision > mEvacuations.mRevision) {
    mEvacuations = *std::move(evacuations);
  }
  StoreIfNewer(std::move(unpacked->mDocument), aSnapshot.substr(0, unpacked->mPackedSize));
  return {};
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
