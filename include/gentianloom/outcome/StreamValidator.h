#ifndef GENTIANLOOM_OUTCOME_STREAM_VALIDATOR_H
#define GENTIANLOOM_OUTCOME_STREAM_VALIDATOR_H

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace gentianloom {

/// Result of checking an event of an engine's stream.
enum class EventCheckResult : std::uint8_t
{
  InOrder,       ///< the next event of this exchange; forward it
  Duplicate,     ///< was already received; skip it
  Gap,           ///< an event is missing or out of order; close the connection
  WrongExchange, ///< belongs to another exchange; close the connection
};

/// Engines that are known to include the exchange id in their events. Thread-safe.
class EchoingEngines
{
public:
  void Add(const std::string& aEngine);
  bool Contains(const std::string& aEngine) const;

private:
  mutable std::mutex mMutex;
  std::set<std::string> mEngines;
};

/**
 * @brief Checks that each event of a stream belongs to the exchange and follows the one before.
 *
 * An event's id must be the exchange id or end with it. An engine that generates its own ids must
 * use the same id for the whole stream. An engine that has once echoed an exchange id must always
 * do so. Numbered events must have consecutive numbers; without numbers, the token count must not
 * decrease. Performs no I/O.
 */
class StreamValidator
{
public:
  /// @param aLastSequence number of the last event that the caller received; 0 for a new stream
  StreamValidator(std::string aExchangeId,
                  std::string aEngine,
                  EchoingEngines& aEchoingEngines,
                  std::int64_t aLastSequence);

  /**
   * @brief Checks one event.
   * @param aData payload of the event
   * @param aSequence number of the event, 0 if it has none
   * @param aTokens output token count that the event reports, 0 if it reports none
   * @par Complexity linear in the length of the payload
   */
  EventCheckResult Check(std::string_view aData, std::int64_t aSequence, std::int64_t aTokens);

  /// @brief Number of the last event in order, 0 if the engine does not number events.
  std::int64_t LastSequence() const { return mLastSequence; }

private:
  bool BelongsToExchange(std::string_view aData);

  std::string mExchangeId;
  std::string mIdField; ///< JSON text of the id field if the engine echoes the exchange id
  std::string mEngine;
  EchoingEngines& mEchoingEngines;
  std::string mStreamId; ///< id of the first event that had one; all later ids must equal it
  std::int64_t mLastSequence;
  std::int64_t mTokens = 0;      ///< highest token count that an event has reported
  std::size_t mLastDataHash = 0; ///< detects a repeated event that has no number
};

/**
 * @brief Finds the top-level `id` of an event.
 * @return the id, empty if there is none
 */
std::string FindEventId(std::string_view aData);

} // namespace gentianloom

#endif
