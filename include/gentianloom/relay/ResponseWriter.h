#ifndef GENTIANLOOM_RELAY_RESPONSE_WRITER_H
#define GENTIANLOOM_RELAY_RESPONSE_WRITER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <string>

namespace gentianloom {

/// How much of the response has been sent to the caller.
enum class ResponseState
{
  NotStarted,
  Streaming, ///< the head was sent; the body is not complete yet
  Complete,
  Aborted ///< the connection is closed before the end of the body, which the caller can detect
};

/**
 * @brief Writes the response to one request on the caller's connection.
 *
 * A stream that cannot be completed is aborted: the connection is closed without the final chunk,
 * so that the caller detects the truncation.
 */
class ResponseWriter
{
public:
  ResponseWriter(net::Channel& aChannel, bool aKeepsAlive)
    : mChannel(aChannel)
    , mKeepsAlive(aKeepsAlive)
  {
  }

  /// @brief Sends a complete response.
  void SendComplete(net::ResponseHead aHead, std::string_view aBody);

  /// @brief Sends the head of a streamed response.
  void StartStream(net::ResponseHead aHead);

  /// @brief Sends part of the body of a streamed response; does nothing if aBytes is empty.
  void SendChunk(std::string_view aBytes);

  /// @brief Sends the final chunk of a streamed response.
  void EndStream();

  /// @brief Closes the connection without the final chunk.
  void Abort();

  ResponseState State() const { return mState; }
  int Status() const { return mStatus; }

  /// @brief Whether the connection can be reused for the caller's next request.
  bool KeepsAlive() const { return mKeepsAlive && mState == ResponseState::Complete; }

  /// @brief Whether the caller's connection is closed or broken.
  bool IsCallerDisconnected() const { return mChannel.State() != net::ChannelState::Open; }

  /// @brief Number of bytes that are buffered because the caller has not read them yet.
  std::size_t UnsentBytes() const { return mChannel.Unsent(); }

private:
  void AddConnectionHeader(net::ResponseHead& aHead) const;

  net::Channel& mChannel;
  bool mKeepsAlive;
  ResponseState mState = ResponseState::NotStarted;
  int mStatus = 0;
};

} // namespace gentianloom

#endif
