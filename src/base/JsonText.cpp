#include "gentianloom/base/JsonText.h"

#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace gentianloom {

namespace {

constexpr int kReplacementCharacter = 0xFFFD;
constexpr std::string_view kReplacementEscape = "\\ufffd";
/// Characters of an escape such as \u00e9.
constexpr std::size_t kUnicodeEscapeLength = 6;
constexpr unsigned kFirstHighSurrogate = 0xD800;
constexpr unsigned kFirstLowSurrogate = 0xDC00;
constexpr unsigned kEndOfSurrogates = 0xE000;

/// Returns the code unit of an escape that a text begins with; nothing if it begins with none.
std::optional<unsigned> FindCodeUnit(std::string_view aText)
{
  constexpr std::string_view kBegin = "\\u";
  constexpr int kHexBase = 16;
  const auto digits = aText.substr(0, kUnicodeEscapeLength);
  if (!digits.starts_with(kBegin)) {
    return std::nullopt;
  }
  unsigned out = 0;
  const auto* const last = digits.data() + digits.size();
  const auto [end, ec] = std::from_chars(digits.data() + kBegin.size(), last, out, kHexBase);
  const bool isWhole = ec == std::errc() && end == last && digits.size() == kUnicodeEscapeLength;
  return isWhole ? std::optional(out) : std::nullopt;
}

bool IsHighSurrogate(unsigned aUnit)
{
  return aUnit >= kFirstHighSurrogate && aUnit < kFirstLowSurrogate;
}

bool IsLowSurrogate(unsigned aUnit)
{
  return aUnit >= kFirstLowSurrogate && aUnit < kEndOfSurrogates;
}

/// Replaces the escapes that are half of a surrogate pair.
std::string ReplaceHalfPairs(std::string_view aText)
{
  std::string out;
  out.reserve(aText.size());
  while (!aText.empty()) {
    const auto escape = std::min(aText.size(), aText.find('\\'));
    out += aText.substr(0, escape);
    aText.remove_prefix(escape);
    const auto unit = FindCodeUnit(aText);
    const auto next =
      unit ? FindCodeUnit(aText.substr(kUnicodeEscapeLength)) : std::optional<unsigned>();
    const bool isPair = unit && next && IsHighSurrogate(*unit) && IsLowSurrogate(*next);
    const bool isHalf = unit && !isPair && (IsHighSurrogate(*unit) || IsLowSurrogate(*unit));
    // Any other escape has two characters, of which the second one may be a backslash.
    const auto length = std::min(aText.size(),
                                 isPair ? 2 * kUnicodeEscapeLength
                                 : unit ? kUnicodeEscapeLength
                                        : 2);
    out += isHalf ? kReplacementEscape : aText.substr(0, length);
    aText.remove_prefix(length);
  }
  return out;
}

/// Replaces the bytes that are not UTF-8.
std::string ReplaceInvalidBytes(const std::string& aText)
{
  const Poco::UTF8Encoding utf8;
  std::string out;
  Poco::TextConverter(utf8, utf8, kReplacementCharacter).convert(aText, out);
  return out;
}

nlohmann::json Parse(std::string_view aText)
{
  return nlohmann::json::parse(aText, nullptr, /*allow_exceptions=*/false);
}

} // namespace

nlohmann::json ParseLenientJson(std::string_view aText)
{
  auto out = Parse(aText);
  return out.is_discarded() ? Parse(ReplaceInvalidBytes(ReplaceHalfPairs(aText))) : out;
}

} // namespace gentianloom
