#ifndef GENTIANLOOM_RELAY_RESPONSE_WRITER_H
#define GENTIANLOOM_RELAY_RESPONSE_WRITER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <string>

namespace gentianloom {

/// How an answer to the caller ends.
enum class AnswerState
{
  NotBegun,
  Streaming, ///< the head and some events were sent
  Whole,
  CutOff ///< the caller sees that it is incomplete
};

/**
 * @brief Writes the one answer of one request to its caller.
 *
 * An answer that cannot be completed is cut off so that the caller sees it.
 */
class ResponseWriter
{
public:
  ResponseWriter(net::Channel& aChannel, bool aKeepsAlive)
    : mChannel(aChannel)
    , mKeepsAlive(aKeepsAlive)
  {
  }

  /// @brief Sends a whole answer.
  void SendWhole(net::ResponseHead aHead, std::string_view aBody);

  /// @brief Sends the head of a stream.
  void BeginStream(net::ResponseHead aHead);

  /// @brief Sends part of a stream.
  void SendPart(std::string_view aBytes);

  /// @brief Ends a stream as complete.
  void EndStream();

  /// @brief Ends a stream as incomplete; the connection is closed.
  void CutOff();

  AnswerState State() const { return mState; }
  int Status() const { return mStatus; }

  /// @brief Whether the connection may carry the next request.
  bool KeepsAlive() const { return mKeepsAlive && mState == AnswerState::Whole; }

  /// @brief Whether the caller has closed the connection or the connection broke.
  bool IsGone() const { return mChannel.State() != net::ChannelState::Open; }

  /// @brief Bytes that wait for the caller to read.
  std::size_t Unsent() const { return mChannel.Unsent(); }

private:
  void AddConnectionHeader(net::ResponseHead& aHead) const;

  net::Channel& mChannel;
  bool mKeepsAlive;
  AnswerState mState = AnswerState::NotBegun;
  int mStatus = 0;
};

} // namespace gentianloom

#endif
