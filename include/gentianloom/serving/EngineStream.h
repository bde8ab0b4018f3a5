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

/// How the reading of a stream came to stand.
enum class StreamState
{
  Event,   ///< one whole event was read
  Comment, ///< a line without data, such as a keep-alive
  Idle,    ///< nothing arrived for a poll interval
  Done,    ///< the end marker was read
  Broken,  ///< the connection ended or an event was malformed
};

/// One event of an engine's stream.
struct StreamEvent
{
  StreamState mState = StreamState::Idle;
  std::string mData;          ///< payload of the `data:` line
  Tokens mPromptTokens = 0;   ///< as reported so far
  Tokens mOutputTokens = 0;   ///< as reported so far
  std::int64_t mSequence = 0; ///< of the `id:` line; 0 if the engine numbers no events
  bool mMoreBuffered = false; ///< whether the next event may be there already
};

/**
 * @brief One chat completion on a model engine, read as server-sent events.
 *
 * Uses a connection of its own, which is closed with the stream: a connection given up
 * mid-answer is never used again.
 */
class EngineStream
{
public:
  /**
   * @brief Connects and sends the request.
   * @return the stream, or how far the call had come
   */
  static boost::outcome_v2::checked<std::unique_ptr<EngineStream>, CallFailure>
  Start(const std::string& aAddress, const HttpRequest& aRequest, const ServingSettings& aSettings);

  ~EngineStream();

  /// @brief Status of the answer; 200 for a stream. Waits for the head of the answer.
  Result<int> ReadStatus();

  /// @brief Reads the next event, waiting at most a poll interval for its first byte.
  StreamEvent Next();

  /// @brief Reads the rest of an answer that is no stream, such as an error body.
  std::string ReadRest();

private:
  struct State;
  explicit EngineStream(std::unique_ptr<State> aState);
  void ReadLine(std::string_view aLine, StreamEvent& aOut);

  std::unique_ptr<State> mState;
};

/**
 * @brief Finds the token counts in an event's payload without parsing all of it.
 * @return whether a count of the field was there
 */
bool FindTokenCount(std::string_view aData, std::string_view aField, Tokens& aOut);

} // namespace gentianloom

#endif
