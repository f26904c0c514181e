// Parses and validates the operator's configuration document.
#ifndef APRICOTYARD_CONFIG_H
#define APRICOTYARD_CONFIG_H

#include "settings.h"

#include <map>
#include <string>
#include <vector>

namespace apricotyard {

// How an entry host treats a new query if the queue of its class is full.
enum class WhenFull : std::uint8_t
{
  Refuse,   // refuse the new query; it has not run
  Displace, // displace the newest query of a less urgent class; refuse if there is none
  Wait,     // as Refuse, and accepted queries of this class are never displaced
};

// When a query is answered.
enum class CoveragePolicy : std::uint8_t
{
  Whole, // once no shard is outstanding, or at the deadline
  Soon,  // after ClassPolicy::mAnswerAfter, once the minimum coverage is reached
};

struct ClassPolicy
{
  std::string mName;
  // 0 is the most urgent.
  std::uint32_t mUrgency = 1;
  // While a more urgent class is waiting, the less urgent classes divide their share of the
  // dispatches in proportion to their weights.
  std::uint32_t mWeight = 1;
  Duration mDeadline = std::chrono::milliseconds(290);
  // Smallest accepted fraction of the shards, from 0 to 1.
  double mMinCoverage = 1.0;
  CoveragePolicy mCoverage = CoveragePolicy::Whole;
  // With CoveragePolicy::Soon, the time after which a query is answered once mMinCoverage is
  // reached.
  Duration mAnswerAfter = std::chrono::milliseconds(200);
  std::uint32_t mQueueLimit = 100;
  WhenFull mWhenFull = WhenFull::Refuse;
  // False for requests that must not run twice.
  bool mRepeatable = true;
};

struct CollectionPolicy
{
  std::string mName;
  std::vector<std::string> mServices;
  std::string mDefaultClass;
  // The replicas, slots and connections expected of each service; 0 sets no expectation. If an
  // upstream announces more slots or connections, these values apply instead, so that a wrong
  // announcement cannot overload a replica.
  std::uint32_t mReplicas = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  // Time that opening a connection to a replica costs. Decides how early connections are opened.
  Duration mConnectCost{};
};

struct DataCentrePolicy
{
  std::string mName;
  // Data centres in the same region are connected by short links.
  std::string mRegion;
};

struct CallerPolicy
{
  std::string mName;
  // SHA-256 of the caller's key in lower-case hexadecimal digits. If empty, the policy applies to
  // callers without a key.
  std::string mKeySha256;
  std::vector<std::string> mCollections;
  std::vector<std::string> mClasses;
};

struct TeamPolicy
{
  std::string mName;
  // SHA-256 of the team's key in lower-case hexadecimal digits.
  std::string mKeySha256;
  // Sections that the team may change, such as "collection.inspection-desk" or "class.*".
  std::vector<std::string> mSections;
};

struct Config
{
  Revision mRevision = 0;
  std::map<std::string, ClassPolicy, std::less<>> mClasses;
  std::map<std::string, CollectionPolicy, std::less<>> mCollections;
  std::map<std::string, CallerPolicy, std::less<>> mCallers;
  // If the document lists no data centres, every data centre is accepted.
  std::map<std::string, DataCentrePolicy, std::less<>> mDataCentres;
  std::map<std::string, TeamPolicy, std::less<>> mTeams;
};

// The parsed document and all problems found in it. The document is invalid if there are any.
struct ConfigResult
{
  Config mConfig;
  std::vector<SettingsProblem> mProblems;
};
// Parses and validates the whole document. aFile is used only in messages. Thread-safe.
ConfigResult
ParseConfig(const std::string& aFile, std::string_view aText);

} // namespace apricotyard

#endif
