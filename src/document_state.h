// Replicated state machine that stores the routing document with the highest version and the list
// of evacuated data centres. Documents with a lower or equal version are ignored. Not thread-safe.
#ifndef APRICOTYARD_DOCUMENT_STATE_H
#define APRICOTYARD_DOCUMENT_STATE_H

#include "evacuation.h"
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
// Decoding fails with StorageCorrupt if the data is truncated or damaged, and ignores what follows
// the compressed document.
std::string
EncodeDocument(const StoredDocument& aDocument);
Expected<StoredDocument>
DecodeDocument(std::string_view aData);

// Commands that order an evacuation have the same format with version 0, which earlier builds
// ignore, and the order in place of the text. Returns nothing for a command of another kind, and
// fails with StorageCorrupt if the data is damaged.
std::string
EncodeOrderCommand(const EvacuationOrder& aOrder);
Expected<std::optional<EvacuationOrder>>
DecodeOrderCommand(std::string_view aCommand);

// The data centres that any of the commands begins to evacuate. An order that ends an evacuation
// counts only once it is committed.
std::set<std::string>
EvacuationsBegunBy(std::span<const std::string> aCommands);

// Whether the state of this member includes everything that was acknowledged before the present
// leader was elected. A member that hears a leader but has applied nothing of its term may lack
// what was acknowledged before the group was restarted.
bool
IsStateCurrent(const LogStatus& aStatus);

class DocumentState
{
public:
  // aOnChange runs after each change of the stored document.
  explicit DocumentState(std::function<void()> aOnChange);

  // Returns the callbacks for the replicated log; they must not be called after this object is
  // destroyed. The outcome of a command is the version stored after it, in decimal. A snapshot
  // holds the document and after it, where earlier builds ignore it, the list of evacuations. A
  // snapshot without the list, or with an earlier revision of it, leaves the list as it is.
  StateMachine MakeStateMachine();
  const StoredDocument& Current() const { return mCurrent; }
  // The current document in the format of EncodeDocument; empty until a document has been stored.
  const std::string& EncodedDocument() const { return mEncoded; }
  const Evacuations& CurrentEvacuations() const { return mEvacuations; }

private:
  void ApplyCommand(std::uint64_t aIndex, std::string_view aCommand);
  std::string MakeSnapshot() const;
  Expected<void> RestoreSnapshot(std::string_view aSnapshot);
  void StoreIfNewer(StoredDocument aDocument, std::string_view aEncoded);

  StoredDocument mCurrent;
  std::string mEncoded;
  Evacuations mEvacuations;
  std::function<void()> mOnChange;
};

} // namespace apricotyard

#endif
