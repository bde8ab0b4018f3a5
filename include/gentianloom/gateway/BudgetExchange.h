#ifndef GENTIANLOOM_GATEWAY_BUDGET_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_BUDGET_EXCHANGE_H

#include "gentianloom/budget/GrantManager.h"
#include "gentianloom/gateway/BudgetKeepers.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/gateway/RemoteReservations.h"
#include "gentianloom/gateway/ReservationMessage.h"
#include "gentianloom/relay/TokenReservations.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace gentianloom {

/**
 * @brief Reserves tokens at the keepers of a budget, by datagrams, and as a keeper for others.
 *
 * A keeper counts what it reserved for another instance like a request of its own: before the
 * answer leaves, within its cap, until it is settled. Therefore no fault of an instance or of the
 * network can make more tokens usable than were drawn; it can only make a keeper count more than
 * was used. If no keeper answers, an instance draws for the request itself.
 */
class BudgetExchange final : public TokenReservations
{
public:
  BudgetExchange(net::Loop& aLoop,
                 PeerSocket& aSocket,
                 BudgetKeepers& aKeepers,
                 GrantManager& aGrants,
                 const Clock& aClock,
                 Metrics& aMetrics);

  /// @brief Starts to handle messages. Call it once.
  void Start();

  net::Task<TokenReservation> Reserve(TokenRequest aRequest) override;
  void Settle(const TokenReservation& aReservation, Tokens aUsed) override;

  /// @brief Number of reservations for other instances that are not settled.
  std::size_t OpenRemoteReservations() const { return mRemote.Open(); }

  /// @brief Counts all reservations for other instances as used, before the tokens that are left
  /// are
  ///        returned.
  void SettleRemoteReservations();

private:
  /// A query that waits for a keeper's answer.
  struct Query
  {
    net::Signal* mSignal = nullptr;
    bool mIsHeard = false; ///< the keeper has answered, perhaps only that it waits
    KeeperAnswer mAnswer = KeeperAnswer::Waiting;
    Millis mOutage{ 0 };
  };
  /// A settlement that the keeper has not confirmed.
  struct Settlement
  {
    std::string mKeeper;
    Tokens mUsed = 0;
    TimePoint mSendAt{};
    int mSends = 0;
  };

  /// @param aOnWait called each time the request begins to wait
  net::Task<TokenReservation> ReserveHere(const TokenRequest& aRequest,
                                          TimePoint aDeadline,
                                          std::function<void()> aOnWait);
  net::Task<TokenReservation> ReserveAt(const std::string& aKeeper,
                                        const TokenRequest& aRequest,
                                        TimePoint aDeadline);
  net::Task<void> AwaitAnswer(const std::string& aKeeper,
                              const ReservationMessage& aMessage,
                              const TokenRequest& aRequest,
                              TimePoint aDeadline);
  net::Task<void> RunSettlements();
  void SendSettlement(std::uint64_t aId, Settlement& aSettlement);
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);
  void OnQuery(const ReservationMessage& aQuery, const PeerSocket::Address& aSender);
  void OnAnswer(const ReservationMessage& aAnswer);
  void OnSettlement(const ReservationMessage& aSettlement, const PeerSocket::Address& aSender);
  net::Task<void> ReserveForPeer(RemoteReservationKey aKey, ReservationMessage aQuery);
  void CountOutcome(std::string_view aWhere, ReservationOutcome aOutcome);

  net::Loop& mLoop;
  PeerSocket& mSocket;
  BudgetKeepers& mKeepers;
  GrantManager& mGrants;
  const Clock& mClock;
  Metrics& mMetrics;
  RemoteReservations mRemote;
  std::map<std::uint64_t, Query> mQueries;          ///< by the reservation's id
  std::map<std::uint64_t, Settlement> mSettlements; ///< by the reservation's id
  net::Signal mSettlementSignal;
  std::uint64_t mNextId;
};

} // namespace gentianloom

#endif
