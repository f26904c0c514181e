// Guards against changes of messages that break hosts of another build while hosts are upgraded one
// after the other: a field that is renumbered, removed or gets another type, and a new field that
// is needed. The messages of the previous build are described by data/messages-46b89dd.pb, which
// protoc --descriptor_set_out wrote from the proto folder of that commit.
#include "control.pb.h"
#include "fleet.pb.h"
#include "peer.pb.h"
#include "raft.pb.h"

#include <fstream>
#include <iterator>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>

namespace {

namespace pb = google::protobuf;

// Values differ from the defaults and between fields, so that a swapped field shows.
constexpr int kListLength = 2;

class PreviousMessages
{
public:
  PreviousMessages()
  {
    std::ifstream file(SOURCE_FOLDER "/tests/data/messages-46b89dd.pb", std::ios::binary);
    pb::FileDescriptorSet files;
    CPPUNIT_ASSERT(files.ParseFromIstream(&file));
    for (const pb::FileDescriptorProto& one : files.file()) {
      const pb::FileDescriptor* const built = mPool.BuildFile(one);
      CPPUNIT_ASSERT(built != nullptr);
      for (int i = 0; i < built->message_type_count(); ++i) {
        mTypes.push_back(built->message_type(i));
      }
    }
  }

  const std::vector<const pb::Descriptor*>& Types() const { return mTypes; }
  std::unique_ptr<pb::Message> New(const pb::Descriptor& aType)
  {
    return std::unique_ptr<pb::Message>(mFactory.GetPrototype(&aType)->New());
  }

private:
  pb::DescriptorPool mPool;
  pb::DynamicMessageFactory mFactory{ &mPool };
  std::vector<const pb::Descriptor*> mTypes;
};

const pb::Descriptor&
CurrentType(const pb::Descriptor& aPrevious)
{
  const pb::Descriptor* const type =
    pb::DescriptorPool::generated_pool()->FindMessageTypeByName(aPrevious.full_name());
  CPPUNIT_ASSERT_MESSAGE(aPrevious.full_name(), type != nullptr);
  return *type;
}

std::unique_ptr<pb::Message>
NewCurrent(const pb::Descriptor& aPrevious)
{
  return std::unique_ptr<pb::Message>(
    pb::MessageFactory::generated_factory()->GetPrototype(&CurrentType(aPrevious))->New());
}

void
Fill(pb::Message& aMessage, int aSeed);

void
FillField(pb::Message& aMessage, const pb::FieldDescriptor& aField, int aSeed)
{
  const pb::Reflection& reflection = *aMessage.GetReflection();
  const int value = aSeed + aField.number();
  const bool repeated = aField.is_repeated();
  switch (aField.cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_STRING: {
      const std::string text = "text-" + std::to_string(value);
      repeated ? reflection.AddString(&aMessage, &aField, text)
               : reflection.SetString(&aMessage, &aField, text);
      break;
    }
    case pb::FieldDescriptor::CPPTYPE_BOOL:
      repeated ? reflection.AddBool(&aMessage, &aField, true)
               : reflection.SetBool(&aMessage, &aField, true);
      break;
    case pb::FieldDescriptor::CPPTYPE_DOUBLE:
      repeated ? reflection.AddDouble(&aMessage, &aField, value + 0.5)
               : reflection.SetDouble(&aMessage, &aField, value + 0.5);
      break;
    case pb::FieldDescriptor::CPPTYPE_INT32:
      repeated ? reflection.AddInt32(&aMessage, &aField, value)
               : reflection.SetInt32(&aMessage, &aField, value);
      break;
    case pb::FieldDescriptor::CPPTYPE_INT64:
      repeated ? reflection.AddInt64(&aMessage, &aField, value)
               : reflection.SetInt64(&aMessage, &aField, value);
      break;
    case pb::FieldDescriptor::CPPTYPE_UINT32:
      repeated ? reflection.AddUInt32(&aMessage, &aField, static_cast<std::uint32_t>(value))
               : reflection.SetUInt32(&aMessage, &aField, static_cast<std::uint32_t>(value));
      break;
    case pb::FieldDescriptor::CPPTYPE_UINT64:
      repeated ? reflection.AddUInt64(&aMessage, &aField, static_cast<std::uint64_t>(value))
               : reflection.SetUInt64(&aMessage, &aField, static_cast<std::uint64_t>(value));
      break;
    case pb::FieldDescriptor::CPPTYPE_ENUM: {
      const pb::EnumDescriptor& type = *aField.enum_type();
      const pb::EnumValueDescriptor* const last = type.value(type.value_count() - 1);
      repeated ? reflection.AddEnum(&aMessage, &aField, last)
               : reflection.SetEnum(&aMessage, &aField, last);
      break;
    }
    case pb::FieldDescriptor::CPPTYPE_MESSAGE:
      Fill(repeated ? *reflection.AddMessage(&aMessage, &aField)
                    : *reflection.MutableMessage(&aMessage, &aField),
           value);
      break;
    default:
      CPPUNIT_FAIL("type without a value in this test: " + aField.full_name());
  }
}

// Sets all fields.
void
Fill(pb::Message& aMessage, int aSeed)
{
  const pb::Descriptor& type = *aMessage.GetDescriptor();
  for (int i = 0; i < type.field_count(); ++i) {
    const int count = type.field(i)->is_repeated() ? kListLength : 1;
    for (int j = 0; j < count; ++j) {
      FillField(aMessage, *type.field(i), aSeed + j);
    }
  }
}

// Drops what the type of the previous build does not know, from nested messages as well.
std::string
KnownToPrevious(PreviousMessages& aPrevious, const pb::Descriptor& aType, const std::string& aBytes)
{
  const std::unique_ptr<pb::Message> message = aPrevious.New(aType);
  CPPUNIT_ASSERT_MESSAGE(aType.full_name(), message->ParseFromString(aBytes));
  message->DiscardUnknownFields();
  return message->SerializeAsString();
}

} // namespace

class MessageCompatibilityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageCompatibilityTest);
  CPPUNIT_TEST(FieldsOfThePreviousBuildAreKept);
  CPPUNIT_TEST(PreviousBuildReadsMessagesOfThisOne);
  CPPUNIT_TEST(MessagesOfThePreviousBuildAreRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void FieldsOfThePreviousBuildAreKept()
  {
    PreviousMessages previous;
    CPPUNIT_ASSERT(previous.Types().size() > 20);
    for (const pb::Descriptor* const type : previous.Types()) {
      const pb::Descriptor& current = CurrentType(*type);
      for (int i = 0; i < type->field_count(); ++i) {
        const pb::FieldDescriptor& before = *type->field(i);
        const pb::FieldDescriptor* const now = current.FindFieldByNumber(before.number());
        CPPUNIT_ASSERT_MESSAGE(before.full_name(), now != nullptr);
        CPPUNIT_ASSERT_EQUAL(before.name(), now->name());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(before.full_name(), before.type(), now->type());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(before.full_name(), before.label(), now->label());
      }
    }
  }

  // A message with all new fields set says the same to the previous build as without them.
  void PreviousBuildReadsMessagesOfThisOne()
  {
    PreviousMessages previous;
    for (const pb::Descriptor* const type : previous.Types()) {
      const std::unique_ptr<pb::Message> sent = NewCurrent(*type);
      Fill(*sent, 1);
      const std::unique_ptr<pb::Message> expected = previous.New(*type);
      Fill(*expected, 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(type->full_name(),
                                   expected->SerializeAsString(),
                                   KnownToPrevious(previous, *type, sent->SerializeAsString()));
    }
  }

  // Without the new fields, a message is read whole, and the new fields have their defaults.
  void MessagesOfThePreviousBuildAreRead()
  {
    PreviousMessages previous;
    for (const pb::Descriptor* const type : previous.Types()) {
      const std::unique_ptr<pb::Message> sent = previous.New(*type);
      Fill(*sent, 1);
      const std::unique_ptr<pb::Message> received = NewCurrent(*type);
      CPPUNIT_ASSERT_MESSAGE(type->full_name(),
                             received->ParseFromString(sent->SerializeAsString()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        type->full_name(), sent->SerializeAsString(), received->SerializeAsString());
      std::vector<const pb::FieldDescriptor*> set;
      received->GetReflection()->ListFields(*received, &set);
      for (const pb::FieldDescriptor* const field : set) {
        CPPUNIT_ASSERT_MESSAGE(field->full_name(),
                               type->FindFieldByNumber(field->number()) != nullptr);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCompatibilityTest);
