#include "rpc_credentials.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxPathBytes = 4096;

std::shared_ptr<grpc::experimental::CertificateProviderInterface>
MakeProvider(const RpcSecurity& aSecurity)
{
  // The provider takes whole seconds and does not accept 0.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aSecurity.mRefresh);
  return std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
    aSecurity.mKey,
    aSecurity.mCertificate,
    aSecurity.mAuthorities,
    static_cast<unsigned>(seconds.count()));
}

} // namespace

void
ReadRpcSecurity(SettingsReader& aReader, RpcSecurity& aSecurity)
{
  aReader.Boolean("tls.plaintext", Presence::Optional, aSecurity.mPlaintext);
  // In plaintext mode a path is read only if it is set, to report the contradiction below. Reading
  // it in any case would print it as an empty path, which the settings reader does not accept.
  const auto readFile = [&](std::string_view aKey, std::string& aOut) {
    if (!aSecurity.mPlaintext || aReader.Has(aKey)) {
      aReader.Text(aKey, Presence::Required, 1, kMaxPathBytes, aOut);
    }
  };
  readFile("tls.certificate", aSecurity.mCertificate);
  readFile("tls.key", aSecurity.mKey);
  readFile("tls.authorities", aSecurity.mAuthorities);
  aReader.Time("tls.refresh",
               Presence::Optional,
               std::chrono::seconds(1),
               std::chrono::hours(24),
               aSecurity.mRefresh);
  if (aSecurity.mPlaintext && !aSecurity.mCertificate.empty()) {
    aReader.Problem("tls.plaintext", "contradicts tls.certificate; remove one of them");
  }
}

std::shared_ptr<grpc::ServerCredentials>
MakeServerCredentials(const RpcSecurity& aSecurity)
{
  if (aSecurity.mPlaintext) {
    return grpc::InsecureServerCredentials();
  }
  grpc::experimental::TlsServerCredentialsOptions options(MakeProvider(aSecurity));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return grpc::experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials>
MakeChannelCredentials(const RpcSecurity& aSecurity)
{
  if (aSecurity.mPlaintext) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::experimental::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(MakeProvider(aSecurity));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  return grpc::experimental::TlsCredentials(options);
}

} // namespace apricotyard
