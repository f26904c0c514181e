// Reads a TOML document against the calls that describe its keys, and collects every mistake.
#ifndef APRICOTYARD_SETTINGS_H
#define APRICOTYARD_SETTINGS_H

#include "types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

struct SettingsProblem
{
  std::string mFile;
  std::uint32_t mLine = 0;
  std::string mKey;
  std::string mMessage;
};

// "file:line: key: message", without the line when it is not known.
std::string
FormatProblem(const SettingsProblem& aProblem);

// Whether a key may be absent; the output then keeps its default.
enum class Presence : std::uint8_t
{
  Required,
  Optional,
};

// One reader validates one document. Each call names a key by its dotted path, checks type and
// range and writes the output only if the value is valid. Not thread-safe.
class SettingsReader
{
public:
  // aFile only names the document in messages. A syntax error is recorded as a problem.
  SettingsReader(std::string aFile, std::string_view aText);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  void Integer(std::string_view aKey,
               Presence aPresence,
               std::int64_t aMin,
               std::int64_t aMax,
               std::int64_t& aOut);
  void Number(std::string_view aKey, Presence aPresence, double aMin, double aMax, double& aOut);
  void Boolean(std::string_view aKey, Presence aPresence, bool& aOut);
  // A text of aMinLength to aMaxLength bytes without control characters.
  void Text(std::string_view aKey,
            Presence aPresence,
            std::size_t aMinLength,
            std::size_t aMaxLength,
            std::string& aOut);
  // One of aAllowed.
  void Choice(std::string_view aKey,
              Presence aPresence,
              const std::vector<std::string>& aAllowed,
              std::string& aOut);
  // A text such as "250ms", "2s", "10m" or "1h".
  void Time(std::string_view aKey,
            Presence aPresence,
            Duration aMin,
            Duration aMax,
            Duration& aOut);
  // A text of the form IP:PORT, with an IPv6 address in brackets.
  void Address(std::string_view aKey, Presence aPresence, SocketAddress& aOut);
  void AddressList(std::string_view aKey, Presence aPresence, std::vector<SocketAddress>& aOut);
  void TextList(std::string_view aKey, Presence aPresence, std::vector<std::string>& aOut);

  // Names of the tables directly below aKey, in order of the alphabet. Empty if aKey is absent.
  std::vector<std::string> Tables(std::string_view aKey);
  // True if aKey is present, whatever its type.
  bool Has(std::string_view aKey) const;
  // Records a contradiction between values, located at aKey.
  void Problem(std::string_view aKey, std::string aMessage);

  // Reports the keys that no call named, and returns all problems in order of their lines.
  std::vector<SettingsProblem> Finish();
  // The effective values as TOML, defaults included, in the order of the calls.
  std::string Effective() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

// Parses "250ms", "2s", "10m", "1h" or "15us".
Expected<Duration>
ParseDuration(std::string_view aText);

// The shortest text that ParseDuration reads back as aDuration.
std::string
FormatDuration(Duration aDuration);

// Parses IP:PORT. Host names are refused, as processes talk by IP address.
Expected<SocketAddress>
ParseSocketAddress(std::string_view aText);

std::string
FormatSocketAddress(const SocketAddress& aAddress);

} // namespace apricotyard

#endif
