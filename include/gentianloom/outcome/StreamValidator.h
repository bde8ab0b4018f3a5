#ifndef GENTIANLOOM_OUTCOME_STREAM_VALIDATOR_H
#define GENTIANLOOM_OUTCOME_STREAM_VALIDATOR_H

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace gentianloom {

/// What is done with an event of an engine's stream.
enum class EventCheckResult : std::uint8_t
{
  InOrder,       ///< the next event of this exchange
  Duplicate,     ///< came before
  Gap,           ///< an event is missing or came out of order: the connection is given up
  WrongExchange, ///< of another exchange: the connection is given up
};

/// Engines that were seen to put the exchange id into their events. Thread-safe.
class EchoingEngines
{
public:
  void Note(const std::string& aEngine);
  bool Contains(const std::string& aEngine) const;

private:
  mutable std::mutex mMutex;
  std::set<std::string> mEngines;
};

/**
 * @brief Checks that each event belongs to the exchange and follows the one before. Pure decisions.
 *
 * An event's id must be the exchange id or end with it. An engine that makes ids of its own must
 * keep one id for the whole stream; once an engine was seen to echo exchange ids, it must always.
 * Numbered events must follow one another; without numbers the token count may not fall.
 */
class StreamValidator
{
public:
  /// @param aAfter number of the last event that the caller has; 0 for a new stream
  StreamValidator(std::string aExchangeId,
                  std::string aEngine,
                  EchoingEngines& aEchoing,
                  std::int64_t aAfter);

  /**
   * @brief Checks one event.
   * @param aData payload of the event
   * @param aSequence its number, 0 if it has none
   * @param aTokens output tokens as the event reports, 0 if it reports none
   * @par Complexity linear in the payload
   */
  EventCheckResult Check(std::string_view aData, std::int64_t aSequence, std::int64_t aTokens);

  /// @brief Number of the last event relayed, 0 if the engine numbers none.
  std::int64_t LastSequence() const { return mLast; }

private:
  bool IsMine(std::string_view aData);

  std::string mExchangeId;
  std::string mEcho; ///< the id field as an engine that echoes writes it
  std::string mEngine;
  EchoingEngines& mEchoing;
  std::string mPinned; ///< id that the engine made, if it does not echo
  std::int64_t mLast;
  std::int64_t mTokens = 0;
  std::size_t mLastData = 0; ///< hash of the last payload, to find a copy without a number
};

/**
 * @brief Finds the top-level `id` of an event.
 * @return the id, empty if there is none
 */
std::string EventId(std::string_view aData);

} // namespace gentianloom

#endif
