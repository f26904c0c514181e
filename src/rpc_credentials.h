// TLS credentials for mutual authentication between the processes of a deployment.
#ifndef APRICOTYARD_RPC_CREDENTIALS_H
#define APRICOTYARD_RPC_CREDENTIALS_H

#include "settings.h"

#include <memory>
#include <string>

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace apricotyard {

struct RpcSecurity
{
  // Set only by explicit settings. Connections are then neither encrypted nor authenticated.
  bool mPlaintext = false;
  // Paths of PEM files: the certificate chain of this host, its private key, and the certificates
  // of the authorities whose peers are accepted.
  std::string mCertificate;
  std::string mKey;
  std::string mAuthorities;
  // Interval at which the files are read again, so that keys can be rotated without a restart.
  Duration mRefresh = std::chrono::seconds(10);
};

// Reads the settings in the table [tls]. Either plaintext = true or all three files are required.
void
ReadRpcSecurity(SettingsReader& aReader, RpcSecurity& aSecurity);

// Returns credentials for a server that accepts only peers with a certificate of an accepted
// authority. Precondition: the files exist. Thread-safe.
std::shared_ptr<grpc::ServerCredentials>
MakeServerCredentials(const RpcSecurity& aSecurity);

// Returns credentials for a client. The server's certificate must name the IP address that is
// called. Precondition: the files exist. Thread-safe.
std::shared_ptr<grpc::ChannelCredentials>
MakeChannelCredentials(const RpcSecurity& aSecurity);

} // namespace apricotyard

#endif
