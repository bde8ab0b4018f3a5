#include "gentianloom/net/RequestTarget.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>

namespace gentianloom::net {

namespace {

/// Characters with a meaning in a query, beside those that the library encodes in any case (blanks,
/// control characters, quotes, brackets, the percent sign and bytes beyond ASCII). A slash, a colon
/// and an at sign have none there.
constexpr const char* kReservedInQuery = "?#&=+;";
constexpr const char* kReservedInSegment = "/?#&=+;:@";

void AppendEncoded(std::string& aOut, std::string_view aText, const char* aReserved)
{
  Poco::URI::encode(std::string(aText), aReserved, aOut);
}

/// Decodes a name or a value of a query; returns it as it is if an escape is malformed.
std::string Decode(std::string_view aText)
{
  std::string text(aText);
  std::replace(text.begin(), text.end(), '+', ' ');
  std::string out;
  try {
    Poco::URI::decode(text, out);
    return out;
  } catch (const Poco::SyntaxException&) {
    return std::string(aText);
  }
}

} // namespace

RequestTarget& RequestTarget::AddSegment(std::string_view aSegment)
{
  mText += '/';
  AppendEncoded(mText, aSegment, kReservedInSegment);
  return *this;
}

RequestTarget& RequestTarget::AddParameter(std::string_view aName, std::string_view aValue)
{
  mText += mHasQuery ? '&' : '?';
  mText.append(aName).append("=");
  AppendEncoded(mText, aValue, kReservedInQuery);
  mHasQuery = true;
  return *this;
}

std::optional<std::string> FindParameter(std::string_view aTarget, std::string_view aName)
{
  auto query = aTarget.substr(std::min(aTarget.size(), aTarget.find('?')));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto parameter = query.substr(0, query.find('&'));
    query.remove_prefix(parameter.size());
    const auto equals = parameter.find('=');
    if (equals != std::string_view::npos && Decode(parameter.substr(0, equals)) == aName) {
      return Decode(parameter.substr(equals + 1));
    }
  }
  return std::nullopt;
}

} // namespace gentianloom::net
