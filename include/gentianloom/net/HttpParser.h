#ifndef GENTIANLOOM_NET_HTTP_PARSER_H
#define GENTIANLOOM_NET_HTTP_PARSER_H

#include "gentianloom/net/HttpHead.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom::net {

/// Why bytes are no message that this process takes.
enum class ParseFault
{
  Malformed, ///< not HTTP/1.x, or framing that two readers could understand differently
  HeadTooLarge,
  BodyTooLarge
};

/// How far a parser has come.
enum class ParseState
{
  NeedMore,
  HeadDone, ///< the head is complete, the body is not
  Done,
  Failed
};

/// Limits of what a parser takes.
struct ParseLimits
{
  std::uint32_t mHeadBytes = 16'384;
  std::uint64_t mBodyBytes = 4'194'304;
};

/**
 * @brief Reads one request from a stream of bytes (Boost.Beast's parser behind strict checks).
 */
class RequestParser
{
public:
  explicit RequestParser(const ParseLimits& aLimits);
  ~RequestParser();

  /**
   * @brief Takes bytes.
   * @return number of bytes consumed; what is left belongs to the next message
   */
  std::size_t Put(std::string_view aBytes);

  ParseState State() const { return mState; }
  ParseFault Fault() const { return mFault; }

  /// @brief The head, once it is complete.
  const RequestHead& Head() const { return mHead; }

  /// @brief Whether the client waits for `100 Continue` before it sends the body.
  bool ExpectsContinue() const;

  /// @brief Whether the request states a body, also an empty one.
  bool HasBody() const;

  /// @brief Takes the whole body out.
  std::string TakeBody();

private:
  struct Impl;

  void TakeHead();
  void Fail(ParseFault aFault);

  std::unique_ptr<Impl> mImpl;
  RequestHead mHead;
  ParseState mState = ParseState::NeedMore;
  ParseFault mFault = ParseFault::Malformed;
};

/**
 * @brief Reads one response from a stream of bytes; the body comes in pieces.
 *
 * Interim responses (1xx) are passed over.
 */
class ResponseParser
{
public:
  /// @param aHasNoBody whether the request's method was HEAD
  explicit ResponseParser(bool aHasNoBody = false);
  ~ResponseParser();

  /// @brief Takes bytes and appends the body's part to @p aBody. @return bytes consumed
  std::size_t Put(std::string_view aBytes, std::string& aBody);

  /// @brief Takes the orderly end of the connection; Done only if the framing allows it.
  void PutEof();

  ParseState State() const { return mState; }
  const ResponseHead& Head() const { return mHead; }
  Framing BodyFraming() const { return mFraming; }
  std::uint64_t StatedLength() const { return mLength; }

private:
  struct Impl;

  void TakeHead();
  std::size_t PutBody(std::string_view aBytes, std::string& aBody);

  bool mHasNoBody;
  std::unique_ptr<Impl> mImpl;
  ResponseHead mHead;
  Framing mFraming = Framing::None;
  std::uint64_t mLength = 0;
  ParseState mState = ParseState::NeedMore;
};

} // namespace gentianloom::net

#endif
