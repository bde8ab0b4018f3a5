#include "gentianloom/base/Base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <algorithm>
#include <sstream>

namespace gentianloom {

namespace {

/// Whether a text consists of whole groups, with padding in the last one only. The decoder drops a
/// single character behind the last group, and reads on behind padding.
bool HasWholeGroups(std::string_view aText)
{
  constexpr std::size_t kGroupCharacters = 4;
  constexpr std::size_t kMaxPadding = 2;
  const auto padding = aText.size() - std::min(aText.size(), aText.find('='));
  return aText.size() % kGroupCharacters == 0 && padding <= kMaxPadding;
}

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder.write(aBytes.data(), static_cast<std::streamsize>(aBytes.size()));
  encoder.close();
  return out.str();
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  if (!HasWholeGroups(aText)) {
    return std::nullopt;
  }
  std::istringstream in{ std::string(aText) };
  Poco::Base64Decoder decoder(in);
  try {
    return std::string(std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>());
  } catch (const Poco::DataException&) {
    return std::nullopt;
  }
}

} // namespace gentianloom
