#include "document_state.h"

#include "log.h"

#include <cstring>

namespace apricotyard {

std::string
EncodeDocument(const StoredDocument& aDocument)
{
  std::string data(sizeof(aDocument.mVersion), '\0');
  std::memcpy(data.data(), &aDocument.mVersion, sizeof(aDocument.mVersion));
  return data + aDocument.mBytes;
}

Expected<StoredDocument>
DecodeDocument(std::string_view aData)
{
  StoredDocument document;
  if (aData.size() < sizeof(document.mVersion)) {
    return Fail(Result::StorageCorrupt, "a stored document is too short");
  }
  std::memcpy(&document.mVersion, aData.data(), sizeof(document.mVersion));
  document.mBytes = aData.substr(sizeof(document.mVersion));
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
      Offer(std::move(*document));
    } else {
      LogEvent(Event::StateUnreadable,
               { { "index", aIndex }, { "reason", document.error().mMessage } });
    }
    return std::to_string(mCurrent.mVersion);
  };
  machine.mSnapshot = [this] { return EncodeDocument(mCurrent); };
  machine.mRestore = [this](std::string_view aSnapshot) -> Expected<void> {
    auto document = DecodeDocument(aSnapshot);
    if (!document) {
      return tl::unexpected(document.error());
    }
    Offer(std::move(*document));
    return {};
  };
  return machine;
}

void
DocumentState::Offer(StoredDocument aDocument)
{
  if (aDocument.mVersion > mCurrent.mVersion) {
    mCurrent = std::move(aDocument);
    mOnChange();
  }
}

} // namespace apricotyard
