#include "document_choice.h"

#include <xxhash.h>

namespace apricotyard {

std::uint64_t
DocumentDigest(std::string_view aEncoded)
{
  return XXH3_64bits(aEncoded.data(), aEncoded.size());
}

bool
Supersedes(const DocumentIdentity& aOffered, const DocumentIdentity& aHeld)
{
  return aOffered.mVersion > aHeld.mVersion ||
         (aOffered.mVersion == aHeld.mVersion && aOffered.mCommitted && !aHeld.mCommitted &&
          aOffered.mDigest != 0 && aOffered.mDigest != aHeld.mDigest);
}

bool
Confirms(const DocumentIdentity& aOffered, const DocumentIdentity& aHeld)
{
  return aOffered.mCommitted && !aHeld.mCommitted && aOffered.mVersion == aHeld.mVersion &&
         aOffered.mDigest == aHeld.mDigest;
}

void
AddVoter(VoterPoll& aPoll, const std::string& aIp, std::uint64_t aList, std::uint32_t aVoters)
{
  if (aList < aPoll.mList) {
    aPoll.mHeard.erase(aIp);
    return;
  }
  if (aList > aPoll.mList) {
    aPoll.mHeard.clear();
  }
  aPoll.mList = aList;
  aPoll.mVoters = aVoters;
  aPoll.mHeard.insert(aIp);
}

bool
HasMajority(const VoterPoll& aPoll)
{
  return aPoll.mHeard.size() > aPoll.mVoters / 2;
}

} // namespace apricotyard
