// Replicated state machine that stores the routing document with the highest version. Documents
// with a lower or equal version are ignored. Not thread-safe.
#ifndef APRICOTYARD_DOCUMENT_STATE_H
#define APRICOTYARD_DOCUMENT_STATE_H

#include "replicated_log.h"
#include "routing.h"

#include <functional>
#include <string>

namespace apricotyard {

struct StoredDocument
{
  // 0 until a document has been stored.
  DocumentVersion mVersion = 0;
  // The text of the document exactly as the operator sent it.
  std::string mBytes;
};

// Log commands and snapshots share one format: a header followed by the zlib-compressed document.
// Decoding fails with StorageCorrupt if the data is truncated or damaged.
std::string
EncodeDocument(const StoredDocument& aDocument);
Expected<StoredDocument>
DecodeDocument(std::string_view aData);

class DocumentState
{
public:
  // aOnChange runs after each change of the stored document.
  explicit DocumentState(std::function<void()> aOnChange);

  // Returns the callbacks for the replicated log; they must not be called after this object is
  // destroyed. The outcome of a command is the version stored after it, in decimal.
  StateMachine MakeStateMachine();
  const StoredDocument& Current() const { return mCurrent; }
  // The current document in the format of EncodeDocument; empty until a document has been stored.
  const std::string& EncodedDocument() const { return mEncoded; }

private:
  void StoreIfNewer(StoredDocument aDocument, std::string_view aEncoded);

  StoredDocument mCurrent;
  std::string mEncoded;
  std::function<void()> mOnChange;
};

} // namespace apricotyard

#endif
