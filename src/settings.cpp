#include "settings.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toml++/toml.h>

namespace apricotyard {

namespace {

struct DurationUnit
{
  std::string_view mSuffix;
  std::int64_t mMicroseconds;
};

// In ascending order, which FormatDuration relies on.
constexpr DurationUnit kDurationUnits[] = {
  { "us", 1 }, { "ms", 1'000 }, { "s", 1'000'000 }, { "m", 60'000'000 }, { "h", 3'600'000'000 },
};

bool
HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aC) {
    return static_cast<unsigned char>(aC) < ' ' || aC == 0x7f;
  });
}

std::string
Quote(std::string_view aText)
{
  std::string out = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
    }
    out.push_back(c);
  }
  out.push_back('"');
  return out;
}

bool
IsIpAddress(const std::string& aIp)
{
  in6_addr buffer{};
  return inet_pton(AF_INET, aIp.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, aIp.c_str(), &buffer) == 1;
}

} // namespace

struct SettingsReader::State
{
  std::string mFile;
  toml::table mDocument;
  std::vector<SettingsProblem> mProblems;
  std::set<std::string, std::less<>> mKnownKeys;
  std::vector<std::pair<std::string, std::string>> mEffectiveValues;

  const toml::node* Find(std::string_view aKey) const { return mDocument.at_path(aKey).node(); }

  void AddProblem(std::string_view aKey, std::string aMessage)
  {
    const toml::node* node = Find(aKey);
    std::string_view parent = aKey;
    while (node == nullptr && parent.find('.') != std::string_view::npos) {
      parent = parent.substr(0, parent.rfind('.'));
      node = Find(parent);
    }
    const std::uint32_t line = node != nullptr ? node->source().begin.line : 0;
    mProblems.push_back({ mFile, line, std::string(aKey), std::move(aMessage) });
  }

  // Marks the key as known and returns its node, or null if it is absent. Adds a problem if the key
  // is required.
  const toml::node* FindKnown(std::string_view aKey, Presence aPresence, std::string_view aExpected)
  {
    mKnownKeys.emplace(aKey);
    const toml::node* const node = Find(aKey);
    if (node == nullptr && aPresence == Presence::Required) {
      AddProblem(aKey, fmt::format("the key is missing; expected {}", aExpected));
    }
    return node;
  }

  void RecordEffective(std::string_view aKey, std::string aValue)
  {
    mEffectiveValues.emplace_back(aKey, std::move(aValue));
  }

  void ReportUnknownKeys(const toml::table& aTable, const std::string& aPrefix)
  {
    for (const auto& [key, node] : aTable) {
      const std::string path =
        aPrefix.empty() ? std::string(key.str()) : aPrefix + "." + std::string(key.str());
      if (mKnownKeys.contains(path)) {
        continue;
      }
      const toml::table* const table = node.as_table();
      if (table != nullptr && HasKnownChild(path)) {
        ReportUnknownKeys(*table, path);
        continue;
      }
      mProblems.push_back({ mFile, key.source().begin.line, path, "unknown key" });
    }
  }

  bool HasKnownChild(const std::string& aPath) const
  {
    const auto firstChild = mKnownKeys.lower_bound(aPath + ".");
    return firstChild != mKnownKeys.end() && firstChild->starts_with(aPath + ".");
  }
};

SettingsReader::SettingsReader(std::string aFile, std::string_view aText)
  : mState(std::make_unique<State>())
{
  mState->mFile = std::move(aFile);
  try {
    mState->mDocument = toml::parse(aText, mState->mFile);
  } catch (const toml::parse_error& error) {
    mState->mProblems.push_back({ mState->mFile,
                                  error.source().begin.line,
                                  "",
                                  fmt::format("syntax error: {}", error.description()) });
  }
}

SettingsReader::~SettingsReader() = default;

void
SettingsReader::Integer(std::string_view aKey,
                        Presence aPresence,
                        std::int64_t aMin,
                        std::int64_t aMax,
                        std::int64_t& aOut)
{
  const std::string expected = fmt::format("an integer from {} to {}", aMin, aMax);
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, expected)) {
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < aMin || *value > aMax) {
      mState->AddProblem(aKey, fmt::format("expected {}", expected));
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, fmt::format("{}", aOut));
}

void
SettingsReader::Number(std::string_view aKey,
                       Presence aPresence,
                       double aMin,
                       double aMax,
                       double& aOut)
{
  const std::string expected = fmt::format("a number from {} to {}", aMin, aMax);
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, expected)) {
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    // This form of the comparison also rejects NaN.
    if (!value || !(*value >= aMin && *value <= aMax)) {
      mState->AddProblem(aKey, fmt::format("expected {}", expected));
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, fmt::format("{}", aOut));
}

void
SettingsReader::Boolean(std::string_view aKey, Presence aPresence, bool& aOut)
{
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, "true or false")) {
    const auto value = node->value_exact<bool>();
    if (!value) {
      mState->AddProblem(aKey, "expected true or false");
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, aOut ? "true" : "false");
}

void
SettingsReader::Text(std::string_view aKey,
                     Presence aPresence,
                     std::size_t aMinLength,
                     std::size_t aMaxLength,
                     std::string& aOut)
{
  const std::string expected =
    fmt::format("a text of {} to {} bytes without control characters", aMinLength, aMaxLength);
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, expected)) {
    const auto value = node->value_exact<std::string>();
    if (!value || value->size() < aMinLength || value->size() > aMaxLength ||
        HasControlCharacter(*value)) {
      mState->AddProblem(aKey, fmt::format("expected {}", expected));
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, Quote(aOut));
}

void
SettingsReader::Choice(std::string_view aKey,
                       Presence aPresence,
                       const std::vector<std::string>& aAllowed,
                       std::string& aOut)
{
  const std::string expected = fmt::format("one of \"{}\"", fmt::join(aAllowed, "\", \""));
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, expected)) {
    const auto value = node->value_exact<std::string>();
    if (!value || std::find(aAllowed.begin(), aAllowed.end(), *value) == aAllowed.end()) {
      mState->AddProblem(aKey, fmt::format("expected {}", expected));
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, Quote(aOut));
}

void
SettingsReader::Time(std::string_view aKey,
                     Presence aPresence,
                     Duration aMin,
                     Duration aMax,
                     Duration& aOut)
{
  const std::string expected =
    fmt::format("a duration from \"{}\" to \"{}\"", FormatDuration(aMin), FormatDuration(aMax));
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, expected)) {
    const auto text = node->value_exact<std::string>();
    const auto value = text ? ParseDuration(*text) : Fail(Result::InvalidSettings, "");
    if (!value || *value < aMin || *value > aMax) {
      mState->AddProblem(aKey, fmt::format("expected {}", expected));
    } else {
      aOut = *value;
    }
  }
  mState->RecordEffective(aKey, Quote(FormatDuration(aOut)));
}

void
SettingsReader::Address(std::string_view aKey, Presence aPresence, SocketAddress& aOut)
{
  constexpr std::string_view kExpected = "an address IP:PORT with a port from 1 to 65535";
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, kExpected)) {
    const auto text = node->value_exact<std::string>();
    auto value = text ? ParseSocketAddress(*text) : Fail(Result::InvalidSettings, "");
    if (!value) {
      mState->AddProblem(aKey, fmt::format("expected {}", kExpected));
    } else {
      aOut = *std::move(value);
    }
  }
  mState->RecordEffective(aKey, Quote(FormatSocketAddress(aOut)));
}

void
SettingsReader::AddressList(std::string_view aKey,
                            Presence aPresence,
                            std::vector<SocketAddress>& aOut)
{
  constexpr std::string_view kExpected = "a list of addresses IP:PORT";
  std::vector<std::string> texts;
  for (const SocketAddress& address : aOut) {
    texts.push_back(FormatSocketAddress(address));
  }
  const std::size_t problems = mState->mProblems.size();
  TextList(aKey, aPresence, texts);
  if (mState->mProblems.size() != problems) {
    return;
  }
  std::vector<SocketAddress> addresses;
  for (const std::string& text : texts) {
    auto value = ParseSocketAddress(text);
    if (!value) {
      mState->AddProblem(aKey, fmt::format("expected {}, found \"{}\"", kExpected, text));
      return;
    }
    addresses.push_back(*std::move(value));
  }
  aOut = std::move(addresses);
}

void
SettingsReader::TextList(std::string_view aKey, Presence aPresence, std::vector<std::string>& aOut)
{
  constexpr std::string_view kExpected = "a list of texts";
  if (const toml::node* const node = mState->FindKnown(aKey, aPresence, kExpected)) {
    const toml::array* const array = node->as_array();
    std::vector<std::string> values;
    bool valid = array != nullptr;
    if (valid) {
      for (const toml::node& item : *array) {
        const auto value = item.value_exact<std::string>();
        valid = valid && value && !HasControlCharacter(*value);
        values.push_back(value.value_or(""));
      }
    }
    if (!valid) {
      mState->AddProblem(aKey, fmt::format("expected {}", kExpected));
    } else {
      aOut = std::move(values);
    }
  }
  std::vector<std::string> quoted;
  for (const std::string& value : aOut) {
    quoted.push_back(Quote(value));
  }
  mState->RecordEffective(aKey, fmt::format("[{}]", fmt::join(quoted, ", ")));
}

std::vector<std::string>
SettingsReader::Tables(std::string_view aKey)
{
  std::vector<std::string> names;
  const toml::node* const node = mState->Find(aKey);
  const toml::table* const table = node != nullptr ? node->as_table() : nullptr;
  if (node != nullptr && table == nullptr) {
    mState->mKnownKeys.emplace(aKey);
    mState->AddProblem(aKey, "expected a table");
  }
  if (table == nullptr) {
    return names;
  }
  for (const auto& [key, child] : *table) {
    if (child.is_table()) {
      names.emplace_back(key.str());
    }
  }
  return names;
}

bool
SettingsReader::Has(std::string_view aKey) const
{
  return mState->Find(aKey) != nullptr;
}

void
SettingsReader::Problem(std::string_view aKey, std::string aMessage)
{
  mState->AddProblem(aKey, std::move(aMessage));
}

std::vector<SettingsProblem>
SettingsReader::Finish()
{
  mState->ReportUnknownKeys(mState->mDocument, "");
  std::stable_sort(mState->mProblems.begin(),
                   mState->mProblems.end(),
                   [](const SettingsProblem& aLeft, const SettingsProblem& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return mState->mProblems;
}

std::string
SettingsReader::Effective() const
{
  std::map<std::string, std::string> tables;
  for (const auto& [path, value] : mState->mEffectiveValues) {
    const std::size_t dot = path.rfind('.');
    const std::string table = dot == std::string::npos ? "" : path.substr(0, dot);
    const std::string key = dot == std::string::npos ? path : path.substr(dot + 1);
    tables[table] += fmt::format("{} = {}\n", key, value);
  }
  std::string text;
  for (const auto& [table, lines] : tables) {
    text += table.empty() ? lines : fmt::format("\n[{}]\n{}", table, lines);
  }
  return text;
}

std::string
FormatProblem(const SettingsProblem& aProblem)
{
  std::string text = aProblem.mFile;
  if (aProblem.mLine != 0) {
    text += fmt::format(":{}", aProblem.mLine);
  }
  if (!aProblem.mKey.empty()) {
    text += ": " + aProblem.mKey;
  }
  return text + ": " + aProblem.mMessage;
}

Expected<Duration>
ParseDuration(std::string_view aText)
{
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), count);
  const std::string_view suffix(end, static_cast<std::size_t>(aText.data() + aText.size() - end));
  if (error == std::errc{} && count >= 0) {
    for (const DurationUnit& unit : kDurationUnits) {
      if (suffix == unit.mSuffix && count <= INT64_MAX / unit.mMicroseconds) {
        return Duration(count * unit.mMicroseconds);
      }
    }
  }
  return Fail(Result::InvalidSettings, fmt::format("'{}' is not a duration such as 250ms", aText));
}

std::string
FormatDuration(Duration aDuration)
{
  for (auto unit = std::rbegin(kDurationUnits); unit != std::rend(kDurationUnits); ++unit) {
    if (aDuration.count() % unit->mMicroseconds == 0 && aDuration.count() != 0) {
      return fmt::format("{}{}", aDuration.count() / unit->mMicroseconds, unit->mSuffix);
    }
  }
  return "0s";
}

Expected<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(Result::InvalidSettings, fmt::format("'{}' has no port", aText));
  }
  std::string_view ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  const bool portValid =
    error == std::errc{} && end == portText.data() + portText.size() && port != 0;
  if (!portValid || !IsIpAddress(std::string(ip))) {
    return Fail(Result::InvalidSettings, fmt::format("'{}' is not an address IP:PORT", aText));
  }
  return SocketAddress{ std::string(ip), port };
}

std::string
FormatSocketAddress(const SocketAddress& aAddress)
{
  const bool isV6 = aAddress.mIp.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", aAddress.mIp, aAddress.mPort)
              : fmt::format("{}:{}", aAddress.mIp, aAddress.mPort);
}

} // namespace apricotyard
