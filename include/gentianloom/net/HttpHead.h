#ifndef GENTIANLOOM_NET_HTTP_HEAD_H
#define GENTIANLOOM_NET_HTTP_HEAD_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianloom::net {

/// Header lines in the order in which they were received or are to be sent.
class HeaderList
{
public:
  using Line = std::pair<std::string, std::string>;

  /// @brief Value of the first line with a name, in any case; unset if there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;

  /// @brief Number of lines with a name.
  std::size_t Count(std::string_view aName) const;

  /// @brief Whether a comma-separated header names a token, in any case.
  bool HasToken(std::string_view aName, std::string_view aToken) const;

  void Add(std::string aName, std::string aValue);

  /// @brief Removes all lines with a name.
  void Remove(std::string_view aName);

  /// @brief Removes the lines that concern one connection only, those that `Connection` names too.
  void RemoveHopByHop();

  const std::vector<Line>& Lines() const { return mLines; }

private:
  std::vector<Line> mLines;
};

/// Request line and headers.
struct RequestHead
{
  std::string mMethod;
  std::string mTarget;
  HeaderList mHeaders;
  bool mKeepAlive = true;
};

/// Status line and headers.
struct ResponseHead
{
  int mStatus = 0;
  std::string mReason;
  HeaderList mHeaders;
  bool mKeepAlive = true;
};

/// How a message's body is delimited.
enum class Framing
{
  None,   ///< no body
  Length, ///< Content-Length
  Chunked,
  UntilClose ///< ends with the connection
};

/// @brief Whether two header names are the same; case plays no part.
bool SameName(std::string_view aLeft, std::string_view aRight);

/// @brief Reads a decimal number that fills the whole text.
std::optional<std::int64_t> ParseNumber(std::string_view aText);

/**
 * @brief Writes a request head. Framing headers in @p aHead are replaced.
 * @param aBodySize length of the body; unset: the request has none and states no length
 */
std::string SerializeRequestHead(const RequestHead& aHead, std::optional<std::size_t> aBodySize);

/// @brief Writes a response head. @param aSize length of the body, with Framing::Length
std::string SerializeResponseHead(const ResponseHead& aHead, Framing aFraming, std::size_t aSize);

/// @brief Writes one chunk. @param aData not empty
std::string SerializeChunk(std::string_view aData);

/// End of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace gentianloom::net

#endif
