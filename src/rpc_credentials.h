// Mutual authentication between the processes of the system.
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
  // True only if the settings say so; then peers are neither encrypted nor authenticated.
  bool mPlaintext = false;
  // PEM files: the host's certificate chain and key, and the authorities whose peers are accepted.
  std::string mCertificate;
  std::string mKey;
  std::string mAuthorities;
  // How often the files are read again, so that keys are rotated without a restart.
  Duration mRefresh = std::chrono::seconds(10);
};

// Reads the table [tls]. Either plaintext = true or all three files are required.
void
ReadRpcSecurity(SettingsReader& aReader, RpcSecurity& aSecurity);

// Credentials of a server that accepts only peers with a certificate of an accepted authority.
// Precondition: the files exist. Thread-safe.
std::shared_ptr<grpc::ServerCredentials>
MakeServerCredentials(const RpcSecurity& aSecurity);

// Credentials of a client; the server's certificate must name the IP address that is called.
std::shared_ptr<grpc::ChannelCredentials>
MakeChannelCredentials(const RpcSecurity& aSecurity);

} // namespace apricotyard

#endif
