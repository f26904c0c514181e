// Tests that peers without a certificate of the deployment's authority are refused.
#include "control.grpc.pb.h"
#include "rpc_credentials.h"
#include "test_address.h"

#include <filesystem>
#include <fstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

using namespace apricotyard;

namespace {

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;

struct Identity
{
  KeyPtr mKey{ EVP_EC_gen("P-256"), &EVP_PKEY_free };
  CertificatePtr mCertificate{ X509_new(), &X509_free };
};

void
AddExtension(X509* aCertificate, int aKind, const char* aValue)
{
  X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, aKind, aValue);
  X509_add_ext(aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

// Creates a key and a certificate that is signed by aIssuer. If aIssuer is null, the certificate is
// that of a self-signed authority.
Identity
MakeIdentity(const char* aName, const Identity* aIssuer, const std::string& aIp)
{
  Identity identity;
  X509* const certificate = identity.mCertificate.get();
  X509_set_version(certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, identity.mKey.get());
  X509_NAME* const name = X509_get_subject_name(certificate);
  const auto* const text = reinterpret_cast<const unsigned char*>(aName);
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
  const bool isAuthority = aIssuer == nullptr;
  X509_set_issuer_name(certificate,
                       isAuthority ? name : X509_get_subject_name(aIssuer->mCertificate.get()));
  if (isAuthority) {
    AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
  } else {
    AddExtension(certificate, NID_subject_alt_name, ("IP:" + aIp).c_str());
  }
  X509_sign(certificate, isAuthority ? identity.mKey.get() : aIssuer->mKey.get(), EVP_sha256());
  return identity;
}

void
WritePem(const Identity& aIdentity, const std::string& aCertificate, const std::string& aKey)
{
  FILE* const certificate = std::fopen(aCertificate.c_str(), "w");
  PEM_write_X509(certificate, aIdentity.mCertificate.get());
  std::fclose(certificate);
  FILE* const key = std::fopen(aKey.c_str(), "w");
  PEM_write_PrivateKey(key, aIdentity.mKey.get(), nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(key);
}

struct Service final : rpc::Control::Service
{
  grpc::Status Sync(grpc::ServerContext* /*aContext*/,
                    const rpc::SyncRequest* /*aRequest*/,
                    rpc::SyncReply* aReply) override
  {
    aReply->set_revision(7);
    return grpc::Status::OK;
  }
};

// Two authorities, "ours" and "theirs", with the certificate of one host each, as files in a
// temporary folder.
struct Fixture
{
  std::filesystem::path mFolder =
    std::filesystem::temp_directory_path() / fmt::format("apricot-tls-{}", getpid());
  std::string mIp = TestIp(3);

  Fixture()
  {
    std::filesystem::create_directories(mFolder);
    for (const std::string name : { "ours", "theirs" }) {
      const Identity authority = MakeIdentity((name + " authority").c_str(), nullptr, "");
      WritePem(authority, Path(name + "-authority.pem"), Path(name + "-authority.key"));
      WritePem(MakeIdentity("host", &authority, mIp), Path(name + ".pem"), Path(name + ".key"));
    }
  }
  ~Fixture() { std::filesystem::remove_all(mFolder); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  std::string Path(const std::string& aName) const { return (mFolder / aName).string(); }

  RpcSecurity Security(const std::string& aIdentity, const std::string& aAuthority) const
  {
    RpcSecurity security;
    security.mCertificate = Path(aIdentity + ".pem");
    security.mKey = Path(aIdentity + ".key");
    security.mAuthorities = Path(aAuthority + "-authority.pem");
    return security;
  }

  // Calls a server with a certificate of "ours" and returns the status of the call.
  grpc::Status Call(const std::shared_ptr<grpc::ChannelCredentials>& aCredentials) const
  {
    Service service;
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(mIp + ":0", MakeServerCredentials(Security("ours", "ours")), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    const auto stub =
      rpc::Control::NewStub(grpc::CreateChannel(fmt::format("{}:{}", mIp, port), aCredentials));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
    rpc::SyncReply reply;
    grpc::Status status = stub->Sync(&context, {}, &reply);
    CPPUNIT_ASSERT(!status.ok() || reply.revision() == 7);
    return status;
  }
};

} // namespace

class RpcCredentialsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RpcCredentialsTest);
  CPPUNIT_TEST(AcceptsPeerOfTheAuthority);
  CPPUNIT_TEST(RefusesOtherPeers);
  CPPUNIT_TEST(SettingsRequireFilesOrPlaintext);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsPeerOfTheAuthority()
  {
    const Fixture fixture;
    const auto status = fixture.Call(MakeChannelCredentials(fixture.Security("ours", "ours")));
    CPPUNIT_ASSERT_MESSAGE(status.error_message(), status.ok());
  }

  void RefusesOtherPeers()
  {
    const Fixture fixture;
    // A client with a certificate of another authority, a client that accepts only another
    // authority, and a client without TLS.
    CPPUNIT_ASSERT(!fixture.Call(MakeChannelCredentials(fixture.Security("theirs", "ours"))).ok());
    CPPUNIT_ASSERT(!fixture.Call(MakeChannelCredentials(fixture.Security("ours", "theirs"))).ok());
    CPPUNIT_ASSERT(!fixture.Call(grpc::InsecureChannelCredentials()).ok());
  }

  void SettingsRequireFilesOrPlaintext()
  {
    const auto problems = [](std::string_view aText) {
      SettingsReader reader("s", aText);
      RpcSecurity security;
      ReadRpcSecurity(reader, security);
      return reader.Finish().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, problems(""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, problems("[tls]\nplaintext = true\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         problems("[tls]\nplaintext = true\ncertificate = 'c'\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcCredentialsTest);
