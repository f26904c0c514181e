// The replicated state machine that holds the newest routing document: the highest version wins.
// Not thread-safe.
#ifndef APRICOTYARD_DOCUMENT_STATE_H
#define APRICOTYARD_DOCUMENT_STATE_H

#include "replicated_log.h"
#include "routing.h"

#include <functional>
#include <string>

namespace apricotyard {

struct StoredDocument
{
  // 0 before the first document.
  DocumentVersion mVersion = 0;
  // As the operator sent it.
  std::string mBytes;
};

// One document as a command of the log or as a snapshot, and back. Decoding fails with
// StorageCorrupt.
std::string
EncodeDocument(const StoredDocument& aDocument);
Expected<StoredDocument>
DecodeDocument(std::string_view aData);

class DocumentState
{
public:
  // aOnChange runs after a newer document took effect.
  explicit DocumentState(std::function<void()> aOnChange);

  // The functions that the log calls; valid as long as this object. The outcome of a command is the
  // version in effect after it, as a decimal number.
  StateMachine Machine();
  const StoredDocument& Current() const { return mCurrent; }
  // The current document as EncodeDocument gives it; empty before the first one.
  const std::string& Packed() const { return mPacked; }

private:
  void Offer(StoredDocument aDocument, std::string_view aPacked);

  StoredDocument mCurrent;
  std::string mPacked;
  std::function<void()> mOnChange;
};

} // namespace apricotyard

#endif
