#ifndef GENTIANLOOM_NET_REQUEST_TARGET_H
#define GENTIANLOOM_NET_REQUEST_TARGET_H

#include <optional>
#include <string>
#include <string_view>

namespace gentianloom::net {

/**
 * @brief Builds the target of a request (RFC 9112, origin form) from texts that may hold any bytes.
 *
 * The path that it starts with is a literal of this program and is written as it is. All that is
 * added is percent-encoded, so that no character of it ends a segment, a parameter or the target.
 */
class RequestTarget
{
public:
  explicit RequestTarget(std::string_view aPath)
    : mText(aPath)
  {
  }

  /// @brief Appends a segment to the path. Call it before AddParameter().
  RequestTarget& AddSegment(std::string_view aSegment);

  /// @brief Appends a parameter to the query.
  /// @param aName a literal of this program, written as it is
  RequestTarget& AddParameter(std::string_view aName, std::string_view aValue);

  const std::string& Text() const { return mText; }

private:
  std::string mText;
  bool mHasQuery = false;
};

/**
 * @brief Finds a parameter in the query of a target.
 *
 * Escapes are decoded, and a plus sign is a blank. A value with a malformed escape is returned as
 * it was sent.
 * @return the first value of the parameter; nothing if there is none
 */
std::optional<std::string> FindParameter(std::string_view aTarget, std::string_view aName);

} // namespace gentianloom::net

#endif
