#ifndef GENTIANLOOM_RELAY_TOKEN_RESERVATIONS_H
#define GENTIANLOOM_RELAY_TOKEN_RESERVATIONS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/net/Task.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentianloom {

/// Tokens that a request asks for.
struct TokenRequest
{
  std::string mBudget;
  Tokens mTokens = 0;
  Micros mMaxWait{ 0 };                 ///< the reservation fails after this time
  Micros mLifetime{ 0 };                ///< the request has ended by then, and its use is settled
  std::shared_ptr<net::Signal> mSignal; ///< wakes the wait, for example when mIsAbandoned changes
  std::function<bool()> mIsAbandoned;   ///< whether nobody waits for the request any more
};

/// Outcome of a TokenRequest.
enum class ReservationOutcome : std::uint8_t
{
  Reserved,
  Exhausted,   ///< what is left of the budget does not cover the request
  Unavailable, ///< no tokens could be reserved in time; the budget may cover the request
  Abandoned    ///< TokenRequest::mIsAbandoned
};

/// Tokens reserved for one request.
struct TokenReservation
{
  ReservationOutcome mOutcome = ReservationOutcome::Unavailable;
  std::string mBudget;
  Tokens mTokens = 0;    ///< 0 unless reserved
  std::string mKeeper;   ///< address of the instance that reserved them; empty: this one
  std::uint64_t mId = 0; ///< of the reservation at mKeeper
  Millis mOutage{ 0 };   ///< with Unavailable: how long the key-value service has been unavailable
};

/**
 * @brief Reserves tokens of prepaid budgets for requests.
 */
class TokenReservations
{
public:
  virtual ~TokenReservations() = default;

  /// @brief Reserves tokens, here or at another instance. Waits at most TokenRequest::mMaxWait.
  virtual net::Task<TokenReservation> Reserve(TokenRequest aRequest) = 0;

  /// @brief Ends a reservation and charges the tokens used, which it limits to those reserved.
  virtual void Settle(const TokenReservation& aReservation, Tokens aUsed) = 0;
};

} // namespace gentianloom

#endif
