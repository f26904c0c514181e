// Tests of the choice of the routing document at a gateway. They guard against a document that was
// never committed and stays in force.
#include "document_choice.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

class DocumentChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DocumentChoiceTest);
  CPPUNIT_TEST(NewerVersionIsUsed);
  CPPUNIT_TEST(CommittedDocumentReplacesDroppedOneOfTheSameVersion);
  CPPUNIT_TEST(EqualDocumentIsConfirmedAndNotFetched);
  CPPUNIT_TEST(RemovedVoterDoesNotCompleteAMajority);
  CPPUNIT_TEST_SUITE_END();

public:
  void NewerVersionIsUsed()
  {
    CPPUNIT_ASSERT(Supersedes({ 1, true, 7 }, {}));
    CPPUNIT_ASSERT(Supersedes({ 6, false, 7 }, { 5, true, 8 }));
    CPPUNIT_ASSERT(!Supersedes({ 4, true, 7 }, { 5, false, 8 }));
    CPPUNIT_ASSERT(!Supersedes({ 0, true, 0 }, {}));
  }

  void CommittedDocumentReplacesDroppedOneOfTheSameVersion()
  {
    const DocumentIdentity dropped{ 5, false, DocumentDigest("dropped") };
    const DocumentIdentity committed{ 5, true, DocumentDigest("committed") };
    CPPUNIT_ASSERT(Supersedes(committed, dropped));
    CPPUNIT_ASSERT(!Confirms(committed, dropped));
    CPPUNIT_ASSERT(!Supersedes(dropped, committed));
    CPPUNIT_ASSERT(!Supersedes(committed, committed));
  }

  void EqualDocumentIsConfirmedAndNotFetched()
  {
    const DocumentIdentity logged{ 5, false, DocumentDigest("document") };
    const DocumentIdentity committed{ 5, true, DocumentDigest("document") };
    CPPUNIT_ASSERT(!Supersedes(committed, logged));
    CPPUNIT_ASSERT(Confirms(committed, logged));
    CPPUNIT_ASSERT(!Confirms(logged, logged));
    CPPUNIT_ASSERT(!Confirms(committed, committed));
  }

  // Host 1 was replaced by host 4 in the list of index 20. Only 3 and 4 hold what came after it.
  void RemovedVoterDoesNotCompleteAMajority()
  {
    VoterPoll poll;
    CPPUNIT_ASSERT(!HasMajority(poll));
    AddVoter(poll, "1", 1, 3);
    CPPUNIT_ASSERT(!HasMajority(poll));
    AddVoter(poll, "2", 20, 3);
    CPPUNIT_ASSERT(!HasMajority(poll));
    AddVoter(poll, "1", 1, 3);
    CPPUNIT_ASSERT(!HasMajority(poll));
    AddVoter(poll, "3", 20, 3);
    CPPUNIT_ASSERT(HasMajority(poll));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentChoiceTest);
