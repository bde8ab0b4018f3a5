#ifndef GENTIANLOOM_NET_HTTP_HEAD_H
#define GENTIANLOOM_NET_HTTP_HEAD_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianloom::net {

/// Header lines in the order in which they were received or will be sent. Names are compared
/// without regard to case.
class HeaderList
{
public:
  using Line = std::pair<std::string, std::string>;

  /// @brief Returns the value of the first line with a name, or nothing if there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;

  /// @brief Returns the number of lines with a name.
  std::size_t Count(std::string_view aName) const;

  /// @brief Whether a comma-separated header contains a token, compared without regard to case.
  bool HasToken(std::string_view aName, std::string_view aToken) const;

  void Add(std::string aName, std::string aValue);

  /// @brief Removes all lines with a name.
  void Remove(std::string_view aName);

  /// @brief Removes the hop-by-hop headers, including those listed in `Connection`.
  void RemoveHopByHop();

  const std::vector<Line>& Lines() const { return mLines; }

  /// @brief Returns the bytes that the lines take in memory. Linear in the lines.
  std::size_t HeldBytes() const;

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
  UntilClose ///< the body ends when the peer closes the connection
};

/// @brief Name of a framing, for logs.
std::string_view ToString(Framing aFraming);

/// @brief Whether two texts are equal except for the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// @brief Returns the media type of a Content-Type header, without its parameters; empty if there
/// is none.
std::string_view MediaType(const HeaderList& aHeaders);

/// @brief Parses a decimal integer.
/// @return the integer, or nothing if the text is empty, contains anything else or is out of range
std::optional<std::int64_t> ParseNumber(std::string_view aText);

/**
 * @brief Serializes a request head. `Content-Length` and `Transfer-Encoding` in @p aHead are
 * ignored; the framing is written from @p aBodySize.
 * @param aBodySize length of the body; if unset, no Content-Length is written
 */
std::string SerializeRequestHead(const RequestHead& aHead, std::optional<std::size_t> aBodySize);

/**
 * @brief Serializes a response head. `Content-Length` and `Transfer-Encoding` in @p aHead are
 * ignored; the framing is written from the other arguments.
 * @param aSize length of the body in bytes; used with Framing::Length only
 */
std::string SerializeResponseHead(const ResponseHead& aHead, Framing aFraming, std::size_t aSize);

/// @brief Serializes one chunk of a chunked body.
/// @param aData not empty, because an empty chunk would end the body
std::string SerializeChunk(std::string_view aData);

/// Chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace gentianloom::net

#endif
