// Decides which routing document a gateway uses. Pure functions.
//
// A coordinator that has lost its group reports the documents in its log, because some of them may
// have been acknowledged. One of them may also have been dropped since, and the group may then have
// committed another document with the same version.
#ifndef APRICOTYARD_DOCUMENT_CHOICE_H
#define APRICOTYARD_DOCUMENT_CHOICE_H

#include "routing.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace apricotyard {

struct DocumentIdentity
{
  // 0 if there is no document.
  DocumentVersion mVersion = 0;
  // Whether the document is known to be committed. The group commits one document per version.
  bool mCommitted = true;
  // Hash of the encoded document; 0 if it is not known.
  std::uint64_t mDigest = 0;

  bool operator==(const DocumentIdentity&) const = default;
};

// Thread-safe, like the other functions of this file that take no mutable argument.
std::uint64_t
DocumentDigest(std::string_view aEncoded);

// Whether a host that holds aHeld is to use aOffered instead.
bool
Supersedes(const DocumentIdentity& aOffered, const DocumentIdentity& aHeld);

// Whether aOffered tells that the document aHeld, which was not known to be committed, is.
bool
Confirms(const DocumentIdentity& aOffered, const DocumentIdentity& aHeld);

// The voters of the control group that a gateway has heard since its start. A voter that was
// removed while it was out of contact still counts itself, with an older member list.
struct VoterPoll
{
  // The newest member list heard of, by its log index, and its number of voters.
  std::uint64_t mList = 0;
  std::uint32_t mVoters = 0;
  // IP addresses of the voters that hold this list.
  std::set<std::string> mHeard;
};

// Adds the reply of a voter. Precondition: aVoters is not 0.
void
AddVoter(VoterPoll& aPoll, const std::string& aIp, std::uint64_t aList, std::uint32_t aVoters);

// Whether the voters heard are a majority, so that one of them has logged each acknowledged
// document.
bool
HasMajority(const VoterPoll& aPoll);

} // namespace apricotyard

#endif
