#ifndef GENTIANLOOM_NET_HTTP_PARSER_H
#define GENTIANLOOM_NET_HTTP_PARSER_H

#include "gentianloom/net/HttpHead.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom::net {

/// Why a message was rejected.
enum class ParseFault
{
  /// Not HTTP/1.x, not exactly one Host header, a target that is not a path with an
  /// optional query, or framing that two implementations could interpret differently.
  Malformed,
  HeadTooLarge,
  BodyTooLarge
};

/// Progress of a parser.
enum class ParseState
{
  NeedMore,
  HeadDone, ///< the head is complete, the body is not
  Done,
  Failed
};

/// Largest request that a RequestParser accepts.
struct ParseLimits
{
  std::uint32_t mHeadBytes = 16'384;
  std::uint64_t mBodyBytes = 4'194'304;
  /// Header fields of a head; no head of 16 KiB has more. A field takes many times its bytes.
  std::size_t mHeaderFields = 4'096;
};

/**
 * @brief Parses one request from a byte stream, using Boost.Beast and additional strict checks.
 */
class RequestParser
{
public:
  explicit RequestParser(const ParseLimits& aLimits);
  ~RequestParser();

  /**
   * @brief Parses more bytes.
   * @return number of bytes consumed. Unless the parser is Done or Failed, the caller must pass
   *   the remaining bytes again, followed by newly received ones. Once it is Done, they
   *   belong to the next message.
   */
  std::size_t Put(std::string_view aBytes);

  ParseState State() const { return mState; }
  /// @brief Why the request was rejected; valid in ParseState::Failed only.
  ParseFault Fault() const { return mFault; }

  /// @brief The head; valid from ParseState::HeadDone on.
  const RequestHead& Head() const { return mHead; }

  /// @brief Whether the client waits for `100 Continue` before it sends the body.
  bool ExpectsContinue() const;

  /// @brief Whether the request declares a body, which may be empty.
  bool HasBody() const;

  /// @brief Moves the head out of the parser.
  RequestHead TakeHead() { return std::move(mHead); }

  /// @brief Moves the body out of the parser.
  std::string TakeBody();

  /// @brief Bytes that the head takes in memory, with the overhead of its fields; 0 before it is
  /// complete.
  std::size_t HeadBytes() const { return mHeadBytes; }

  /// @brief Bytes that the body takes in memory so far.
  std::size_t BodyBytes() const;

private:
  struct Impl;

  void ExtractHead();
  void Fail(ParseFault aFault);

  std::unique_ptr<Impl> mImpl;
  std::size_t mMaxHeaderFields;
  RequestHead mHead;
  std::size_t mHeadBytes = 0;
  ParseState mState = ParseState::NeedMore;
  ParseFault mFault = ParseFault::Malformed;
};

/**
 * @brief Parses one response from a byte stream and returns its body incrementally.
 *
 * Interim responses (1xx) are skipped. Too many of them, and a head, a chunk's size line or
 * trailers that do not end within 64 KiB, make the parser fail, so that what it holds is bounded.
 * So does a number that is no status, see IsStatus().
 * The size of the body is not limited.
 */
class ResponseParser
{
public:
  /// @param aHasNoBody whether the response has no body because the request's method was HEAD
  explicit ResponseParser(bool aHasNoBody = false);
  ~ResponseParser();

  /// @brief Parses more bytes and appends decoded body bytes to @p aBody.
  /// @return number of bytes consumed. Unless the parser is Done or Failed, the caller must pass
  ///   the remaining bytes again, followed by newly received ones.
  std::size_t Put(std::string_view aBytes, std::string& aBody);

  /**
   * @brief Handles the end of the stream, after the peer closed the connection without a reset.
   *
   * The state becomes Done if the framing lets the body end here, and Failed if the response is
   * incomplete.
   */
  void PutEof();

  ParseState State() const { return mState; }
  const ResponseHead& Head() const { return mHead; }
  Framing BodyFraming() const { return mFraming; }
  /// @brief Declared length of the body in bytes; 0 if none is declared.
  std::uint64_t ContentLength() const { return mContentLength; }

private:
  struct Impl;

  void ExtractHead();
  std::size_t PutBody(std::string_view aBytes, std::string& aBody);

  bool mHasNoBody;
  std::unique_ptr<Impl> mImpl;
  ResponseHead mHead;
  Framing mFraming = Framing::None;
  std::uint64_t mContentLength = 0;
  bool mHasBodyBytes = false;
  int mInterimResponses = 0;
  ParseState mState = ParseState::NeedMore;
};

} // namespace gentianloom::net

#endif
