#ifndef GENTIANLOOM_SERVING_ENGINE_STREAM_H
#define GENTIANLOOM_SERVING_ENGINE_STREAM_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"
#include "gentianloom/external/HttpCall.h"
#include "gentianloom/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gentianloom {

/// Result of reading from a stream.
enum class StreamState
{
  Event,   ///< a complete event was read
  Comment, ///< a line without data was read, such as a keep-alive
  Idle,    ///< nothing arrived within a poll interval
  Done,    ///< the end marker was read
  Broken,  ///< the response ended before the end marker, or its chunk encoding was invalid
};

/// Result of EngineStream::ReadEvent().
struct StreamEvent
{
  StreamState mState = StreamState::Idle;
  std::string mData;          ///< payload of the `data:` line
  Tokens mPromptTokens = 0;   ///< last count that the engine reported
  Tokens mOutputTokens = 0;   ///< last count that the engine reported
  std::int64_t mSequence = 0; ///< number of the `id:` line; 0 if the engine does not number events
  bool mHasMoreBuffered = false; ///< more bytes of the stream were already received
};

/// @brief Whether an engine's status states that it did not run the request: a redirection or an
/// error of the request, or 503. Another success than 200, and other errors of the engine, state
/// nothing.
bool StatesNotRun(int aStatus);

/**
 * @brief Reads the response of a model engine to one chat completion as server-sent events.
 *
 * Each stream has its own connection, which is closed with the stream: a connection with unread
 * response data must not be reused.
 */
class EngineStream
{
public:
  /**
   * @brief Connects and sends the request.
   * @param aMaxDuration time after which nothing more of the response is received
   * @return the stream, or the error and whether the endpoint may have received the request
   */
  static boost::outcome_v2::checked<std::unique_ptr<EngineStream>, CallFailure> Start(
    const std::string& aAddress,
    const HttpRequest& aRequest,
    const ServingSettings& aSettings,
    Millis aMaxDuration);

  ~EngineStream();

  /// @brief Waits for the response headers.
  /// @return the status, 200 for a stream; ErrorCode::EndpointFailed if no headers arrived
  Result<int> ReadStatus();

  /// @brief Reads the next line or event. Waits at most one poll interval for its first byte.
  StreamEvent ReadEvent();

  /// @brief Reads the rest of a response that is not a stream, such as an error body.
  std::string ReadRemainder();

private:
  struct State;
  explicit EngineStream(std::unique_ptr<State> aState);
  void ParseLine(std::string_view aLine, StreamEvent& aOut);

  std::unique_ptr<State> mState;
};

/**
 * @brief Finds a token count in the payload of an event without parsing the whole JSON text.
 * @param aField the quoted name of the field, with its colon
 * @param aOut set to the count if it was found
 * @return whether the field with a count was found
 */
bool FindTokenCount(std::string_view aData, std::string_view aField, Tokens& aOut);

} // namespace gentianloom

#endif
