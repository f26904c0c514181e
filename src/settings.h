// Validating reader for TOML settings. Each call declares a key with its type and range; the reader
// collects all problems instead of stopping at the first one.
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
  // 0 if the line is not known.
  std::uint32_t mLine = 0;
  // Dotted path of the key; empty for a syntax error.
  std::string mKey;
  std::string mMessage;
};

// Returns "file:line: key: message", without the parts that are not known. Thread-safe.
std::string
FormatProblem(const SettingsProblem& aProblem);

// Whether a key must be present. If an optional key is absent, the output keeps its default.
enum class Presence : std::uint8_t
{
  Required,
  Optional,
};

// Validates one document. Each call names a key by its dotted path, checks its type and range, and
// writes aOut only if the value is valid. Limits are inclusive. Not thread-safe.
class SettingsReader
{
public:
  // aFile is used only in messages. A syntax error is recorded as a problem.
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
  // A string of aMinLength to aMaxLength bytes without control characters.
  void Text(std::string_view aKey,
            Presence aPresence,
            std::size_t aMinLength,
            std::size_t aMaxLength,
            std::string& aOut);
  // A string that is one of aAllowed.
  void Choice(std::string_view aKey,
              Presence aPresence,
              const std::vector<std::string>& aAllowed,
              std::string& aOut);
  // A duration string; see ParseDuration.
  void Time(std::string_view aKey,
            Presence aPresence,
            Duration aMin,
            Duration aMax,
            Duration& aOut);
  // A string of the form IP:PORT; an IPv6 address is in brackets.
  void Address(std::string_view aKey, Presence aPresence, SocketAddress& aOut);
  void AddressList(std::string_view aKey, Presence aPresence, std::vector<SocketAddress>& aOut);
  void TextList(std::string_view aKey, Presence aPresence, std::vector<std::string>& aOut);

  // Returns the names of the tables directly below aKey in alphabetical order, or an empty list if
  // aKey is absent.
  std::vector<std::string> Tables(std::string_view aKey);
  // Returns true if aKey is present, whatever its type.
  bool Has(std::string_view aKey) const;
  // Adds a problem at aKey. For checks beyond type and range, such as contradictory values.
  void Problem(std::string_view aKey, std::string aMessage);

  // Adds a problem for each key that no call has named, and returns all problems ordered by line.
  std::vector<SettingsProblem> Finish();
  // Returns the effective values, including defaults, as TOML. Tables are in alphabetical order,
  // and the keys of a table in the order of the calls.
  std::string Effective() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

// Parses a non-negative integer with a unit: "15us", "250ms", "2s", "10m" or "1h". Fails with
// InvalidSettings. Thread-safe.
Expected<Duration>
ParseDuration(std::string_view aText);

// Formats aDuration in the largest unit that represents it exactly, as ParseDuration reads it.
// Thread-safe.
std::string
FormatDuration(Duration aDuration);

// Parses IP:PORT with a port from 1 to 65535. Host names are rejected, because processes address
// each other by IP address. Fails with InvalidSettings. Thread-safe.
Expected<SocketAddress>
ParseSocketAddress(std::string_view aText);

// Returns IP:PORT; an IPv6 address is put in brackets. Thread-safe.
std::string
FormatSocketAddress(const SocketAddress& aAddress);

} // namespace apricotyard

#endif
