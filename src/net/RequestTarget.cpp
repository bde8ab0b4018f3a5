#include "gentianloom/net/RequestTarget.h"

#include <Poco/URI.h>

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

} // namespace gentianloom::net
