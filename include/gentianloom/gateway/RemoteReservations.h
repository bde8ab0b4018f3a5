#ifndef GENTIANLOOM_GATEWAY_REMOTE_RESERVATIONS_H
#define GENTIANLOOM_GATEWAY_REMOTE_RESERVATIONS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/gateway/ReservationMessage.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianloom {

/// Identifies a reservation that a keeper made for another instance.
using RemoteReservationKey = std::pair<PeerSocket::Address, std::uint64_t>;

/// Tokens to settle in the keeper's ledger.
struct RemoteSettlement
{
  std::string mBudget;
  Tokens mReserved = 0;
  Tokens mUsed = 0;
};

/**
 * @brief The reservations that a keeper made for other instances. No I/O.
 *
 * Queries and settlements may be lost, repeated and reordered. Each reservation is settled exactly
 * once: by its instance, or, when the request must have ended and no settlement has come, as used
 * completely. A settlement that overtakes its query cancels it.
 */
class RemoteReservations
{
public:
  /// How long after the end of its request a reservation waits for its settlement.
  static constexpr Millis kSettlementGrace{ 5'000 };
  /// How long an ended reservation is remembered, so that repeated messages have no effect.
  static constexpr Millis kMemory{ 15'000 };
  /// Bound of the memory; further queries are answered KeeperAnswer::Unavailable.
  static constexpr std::size_t kMaxEntries = 50'000;

  /// Result of Begin().
  enum class Beginning : std::uint8_t
  {
    New,      ///< tokens have to be reserved, then Answer() is to be called
    Repeated, ///< AnswerOf() has the answer
    Rejected  ///< too many reservations
  };

  /// @brief Notes a query.
  Beginning Begin(const RemoteReservationKey& aKey,
                  const ReservationMessage& aQuery,
                  TimePoint aNow);

  /// @brief Whether a reservation was ended before its query was answered.
  bool IsEnded(const RemoteReservationKey& aKey) const;

  /**
   * @brief Notes the answer to a query.
   * @return false if the reservation was ended meanwhile; tokens that were reserved for it have to
   *         be freed
   */
  bool Answer(const RemoteReservationKey& aKey, KeeperAnswer aAnswer, Millis aOutage);

  /// @brief Returns the message that answers a query, as far as the answer is known.
  ReservationMessage AnswerOf(const RemoteReservationKey& aKey) const;

  /// @brief Ends a reservation. @return what to settle; nothing if it was settled before or has not
  ///        been answered yet
  std::optional<RemoteSettlement> End(const RemoteReservationKey& aKey,
                                      Tokens aUsed,
                                      TimePoint aNow);

  /// @brief Ends what waits for no settlement any more. @return what to settle
  std::vector<RemoteSettlement> Expire(TimePoint aNow);

  /// @brief Ends all reservations as used completely. @return what to settle
  std::vector<RemoteSettlement> EndAll(TimePoint aNow);

  /// @brief Number of reservations that are not settled.
  std::size_t Open() const { return mOpen; }

private:
  enum class Phase : std::uint8_t
  {
    Asked,    ///< the keeper has not answered yet
    Reserved, ///< the keeper holds tokens for the request
    Refused,
    Ended
  };
  struct Entry
  {
    Phase mPhase = Phase::Asked;
    std::string mBudget{};
    Tokens mTokens = 0;
    KeeperAnswer mAnswer = KeeperAnswer::Waiting;
    Millis mOutage{ 0 };
    TimePoint mExpiresAt{}; ///< of an ended or refused one: when it is forgotten
  };

  std::optional<RemoteSettlement> End(Entry& aEntry, Tokens aUsed, TimePoint aNow);

  std::map<RemoteReservationKey, Entry> mEntries;
  std::size_t mOpen = 0;
};

} // namespace gentianloom

#endif
