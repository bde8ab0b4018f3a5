#include "gentianloom/gateway/BudgetExchange.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// A keeper that has not answered after this time is passed over.
constexpr Millis kAnswerTimeout{ 150 };
/// Interval at which a query is sent again, since datagrams can be lost.
constexpr Millis kResendInterval{ 40 };
/// The same while the keeper waits for tokens: only its final answer can be lost.
constexpr Millis kWaitingResendInterval{ 150 };
/// First interval at which a settlement is sent again; it doubles each time.
constexpr Millis kSettlementResendInterval{ 100 };
/// Number of times that a settlement is sent. After that the keeper counts all tokens as used.
constexpr int kMaxSettlementSends = 7;
/// Interval at which settlements are sent again and reservations of others expire.
constexpr Millis kSettlementPeriod{ 100 };

const std::function<void()> kNoCallback = [] {};

ReservationOutcome ToOutcome(KeeperAnswer aAnswer)
{
  switch (aAnswer) {
    case KeeperAnswer::Reserved:
      return ReservationOutcome::Reserved;
    case KeeperAnswer::Exhausted:
      return ReservationOutcome::Exhausted;
    case KeeperAnswer::Unavailable:
    case KeeperAnswer::Waiting:
      break;
  }
  return ReservationOutcome::Unavailable;
}

KeeperAnswer ToAnswer(ReservationOutcome aOutcome)
{
  switch (aOutcome) {
    case ReservationOutcome::Reserved:
      return KeeperAnswer::Reserved;
    case ReservationOutcome::Exhausted:
      return KeeperAnswer::Exhausted;
    case ReservationOutcome::Unavailable:
    case ReservationOutcome::Abandoned:
      break;
  }
  return KeeperAnswer::Unavailable;
}

std::string_view ToString(ReservationOutcome aOutcome)
{
  switch (aOutcome) {
    case ReservationOutcome::Reserved:
      return "reserved";
    case ReservationOutcome::Exhausted:
      return "exhausted";
    case ReservationOutcome::Unavailable:
      return "unavailable";
    case ReservationOutcome::Abandoned:
      return "abandoned";
  }
  return "";
}

} // namespace

BudgetExchange::BudgetExchange(net::Loop& aLoop,
                               PeerSocket& aSocket,
                               BudgetKeepers& aKeepers,
                               GrantManager& aGrants,
                               const Clock& aClock,
                               Metrics& aMetrics)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mKeepers(aKeepers)
  , mGrants(aGrants)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mSettlementSignal(aLoop)
  // A keeper remembers the reservations of an earlier process at this address for a while.
  , mNextId(StableHash(MakeId("reservation")))
{
}

void BudgetExchange::Start()
{
  for (const auto it : { PeerMessageKind::ReservationQuery,
                         PeerMessageKind::ReservationAnswer,
                         PeerMessageKind::ReservationSettlement,
                         PeerMessageKind::ReservationSettled }) {
    mSocket.SetHandler(it, [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
      OnDatagram(aBytes, aSender);
    });
  }
  net::Start(mLoop, "settlements", RunSettlements());
}

net::Task<TokenReservation> BudgetExchange::Reserve(TokenRequest aRequest)
{
  const auto deadline = mClock.Now() + aRequest.mMaxWait;
  const auto keepers = mKeepers.ToAsk(aRequest.mBudget);
  const bool isKeeper = std::find(keepers.begin(), keepers.end(), mKeepers.Self()) != keepers.end();
  std::size_t exhausted = 0;
  TokenReservation out;
  for (const auto& it : keepers) {
    if (it == mKeepers.Self()) {
      out = co_await ReserveHere(aRequest, deadline, kNoCallback);
    } else {
      out = co_await ReserveAt(it, aRequest, deadline);
    }
    CountOutcome(it == mKeepers.Self() ? "here" : "keeper", out.mOutcome);
    const bool isDecided =
      out.mOutcome == ReservationOutcome::Reserved || out.mOutcome == ReservationOutcome::Abandoned;
    if (isDecided || mClock.Now() >= deadline) {
      co_return out;
    }
    exhausted += out.mOutcome == ReservationOutcome::Exhausted ? 1 : 0;
  }
  if (exhausted == 0 && !isKeeper) {
    out = co_await ReserveHere(aRequest, deadline, kNoCallback);
    CountOutcome("without keeper", out.mOutcome);
    co_return out;
  }
  // One keeper may have been cut off while the other one has nothing left.
  out.mOutcome =
    exhausted == keepers.size() ? ReservationOutcome::Exhausted : ReservationOutcome::Unavailable;
  co_return out;
}

void BudgetExchange::CountOutcome(std::string_view aWhere, ReservationOutcome aOutcome)
{
  mMetrics
    .CounterOf("gentianloom_token_reservations_total",
               "where=\"" + std::string(aWhere) + "\",outcome=\"" +
                 std::string(ToString(aOutcome)) + "\"")
    .Add();
}

net::Task<TokenReservation> BudgetExchange::ReserveHere(const TokenRequest& aRequest,
                                                        TimePoint aDeadline,
                                                        std::function<void()> aOnWait)
{
  TokenReservation out;
  out.mBudget = aRequest.mBudget;
  while (true) {
    if (aRequest.mIsAbandoned()) {
      out.mOutcome = ReservationOutcome::Abandoned;
      co_return out;
    }
    const auto timeLeft = aDeadline - mClock.Now();
    const auto answer =
      mGrants.Reserve(aRequest.mBudget, aRequest.mTokens, aRequest.mSignal, timeLeft);
    if (answer == ReserveAnswer::Reserved) {
      out.mOutcome = ReservationOutcome::Reserved;
      out.mTokens = aRequest.mTokens;
      co_return out;
    }
    if (answer == ReserveAnswer::Exhausted) {
      out.mOutcome = ReservationOutcome::Exhausted;
      co_return out;
    }
    if (answer == ReserveAnswer::Unavailable || timeLeft <= Micros(0)) {
      out.mOutage = mGrants.StoreUnavailableFor();
      co_return out;
    }
    aOnWait();
    const auto notifications = mGrants.Notifications();
    while (notifications == mGrants.Notifications() && !aRequest.mIsAbandoned() &&
           mClock.Now() < aDeadline) {
      co_await aRequest.mSignal->WaitFor(aDeadline - mClock.Now());
    }
  }
}

net::Task<TokenReservation> BudgetExchange::ReserveAt(const std::string& aKeeper,
                                                      const TokenRequest& aRequest,
                                                      TimePoint aDeadline)
{
  ReservationMessage message;
  message.mId = mNextId++;
  message.mBudget = aRequest.mBudget;
  message.mTokens = aRequest.mTokens;
  message.mLifetime = std::chrono::ceil<Millis>(aRequest.mLifetime);
  mQueries[message.mId] = { aRequest.mSignal.get() };
  co_await AwaitAnswer(aKeeper, message, aRequest, aDeadline);
  const auto query = mQueries[message.mId];
  mQueries.erase(message.mId);

  TokenReservation out{ ToOutcome(query.mAnswer), aRequest.mBudget, 0, aKeeper, message.mId };
  out.mOutage = query.mOutage;
  if (aRequest.mIsAbandoned()) {
    out.mOutcome = ReservationOutcome::Abandoned;
  }
  if (out.mOutcome == ReservationOutcome::Reserved) {
    out.mTokens = aRequest.mTokens;
    co_return out;
  }
  if (query.mAnswer == KeeperAnswer::Waiting || query.mAnswer == KeeperAnswer::Reserved) {
    Settle(out, 0); // the keeper may have reserved tokens, or do so later
  }
  if (!query.mIsHeard && out.mOutcome != ReservationOutcome::Abandoned) {
    mKeepers.OnUnresponsive(aKeeper);
  }
  co_return out;
}

net::Task<void> BudgetExchange::AwaitAnswer(const std::string& aKeeper,
                                            const ReservationMessage& aMessage,
                                            const TokenRequest& aRequest,
                                            TimePoint aDeadline)
{
  const auto begin = mClock.Now();
  auto sendAt = begin;
  while (!aRequest.mIsAbandoned()) {
    const auto now = mClock.Now();
    const auto& query = mQueries[aMessage.mId];
    const auto end = query.mIsHeard ? aDeadline : std::min(aDeadline, begin + kAnswerTimeout);
    if (query.mAnswer != KeeperAnswer::Waiting || now >= end) {
      co_return;
    }
    if (now >= sendAt) {
      auto message = aMessage;
      message.mMaxWait = std::chrono::floor<Millis>(aDeadline - now);
      mSocket.Send(aKeeper, EncodeReservation(message));
      sendAt = now + (query.mIsHeard ? kWaitingResendInterval : kResendInterval);
    }
    const auto wait = std::min(sendAt, end) - now;
    co_await aRequest.mSignal->WaitFor(wait);
  }
}

void BudgetExchange::Settle(const TokenReservation& aReservation, Tokens aUsed)
{
  if (aReservation.mKeeper.empty()) {
    mGrants.Settle(aReservation.mBudget, aReservation.mTokens, aUsed);
    return;
  }
  auto& settlement = mSettlements[aReservation.mId];
  settlement.mKeeper = aReservation.mKeeper;
  settlement.mUsed = aUsed;
  SendSettlement(aReservation.mId, settlement);
}

void BudgetExchange::SendSettlement(std::uint64_t aId, Settlement& aSettlement)
{
  ReservationMessage message;
  message.mKind = PeerMessageKind::ReservationSettlement;
  message.mId = aId;
  message.mUsed = aSettlement.mUsed;
  mSocket.Send(aSettlement.mKeeper, EncodeReservation(message));
  aSettlement.mSendAt = mClock.Now() + kSettlementResendInterval * (1 << aSettlement.mSends);
  ++aSettlement.mSends;
}

net::Task<void> BudgetExchange::RunSettlements()
{
  while (true) {
    const auto now = mClock.Now();
    for (auto it = mSettlements.begin(); it != mSettlements.end();) {
      auto& settlement = it->second;
      if (settlement.mSendAt > now) {
        ++it;
        continue;
      }
      if (settlement.mSends >= kMaxSettlementSends) {
        mMetrics.CounterOf("gentianloom_unconfirmed_settlements_total").Add();
        it = mSettlements.erase(it);
        continue;
      }
      SendSettlement(it->first, settlement);
      ++it;
    }
    for (const auto& it : mRemote.Expire(now)) {
      mMetrics.CounterOf("gentianloom_expired_reservations_total").Add();
      mGrants.Settle(it.mBudget, it.mReserved, it.mUsed);
    }
    co_await net::Signal::Sleep(mLoop, kSettlementPeriod);
  }
}

void BudgetExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodeReservation(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_reservations_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  switch (message.value().mKind) {
    case PeerMessageKind::ReservationQuery:
      OnQuery(message.value(), aSender);
      break;
    case PeerMessageKind::ReservationAnswer:
      OnAnswer(message.value());
      break;
    case PeerMessageKind::ReservationSettlement:
      OnSettlement(message.value(), aSender);
      break;
    default:
      mSettlements.erase(message.value().mId);
      break;
  }
}

void BudgetExchange::OnQuery(const ReservationMessage& aQuery, const PeerSocket::Address& aSender)
{
  const RemoteReservationKey key{ aSender, aQuery.mId };
  const auto beginning = mRemote.Begin(key, aQuery, mClock.Now());
  if (beginning == RemoteReservations::Beginning::New) {
    net::Start(mLoop, "reservation for a peer", ReserveForPeer(key, aQuery));
    return;
  }
  mSocket.Send(aSender, EncodeReservation(mRemote.AnswerOf(key)));
}

net::Task<void> BudgetExchange::ReserveForPeer(RemoteReservationKey aKey, ReservationMessage aQuery)
{
  TokenRequest request;
  request.mBudget = aQuery.mBudget;
  request.mTokens = aQuery.mTokens;
  request.mMaxWait = aQuery.mMaxWait;
  request.mSignal = std::make_shared<net::Signal>(mLoop);
  request.mIsAbandoned = [&] { return mRemote.IsEnded(aKey); };
  const std::function<void()> sendAnswer = [&] {
    mSocket.Send(aKey.first, EncodeReservation(mRemote.AnswerOf(aKey)));
  };
  const auto deadline = mClock.Now() + request.mMaxWait;
  const auto reservation = co_await ReserveHere(request, deadline, sendAnswer);
  const bool isAccepted = mRemote.Answer(aKey, ToAnswer(reservation.mOutcome), reservation.mOutage);
  CountOutcome("for a peer", reservation.mOutcome);
  if (!isAccepted && reservation.mOutcome == ReservationOutcome::Reserved) {
    mGrants.Settle(reservation.mBudget, reservation.mTokens, 0);
  }
  if (isAccepted) {
    sendAnswer();
  }
}

void BudgetExchange::OnAnswer(const ReservationMessage& aAnswer)
{
  const auto it = mQueries.find(aAnswer.mId);
  // A late message that the keeper waits does not replace its answer.
  if (it != mQueries.end() && it->second.mAnswer == KeeperAnswer::Waiting) {
    auto& query = it->second;
    query.mIsHeard = true;
    query.mAnswer = aAnswer.mAnswer;
    query.mOutage = aAnswer.mOutage;
    query.mSignal->Notify();
  }
}

void BudgetExchange::OnSettlement(const ReservationMessage& aSettlement,
                                  const PeerSocket::Address& aSender)
{
  const auto ended = mRemote.End({ aSender, aSettlement.mId }, aSettlement.mUsed, mClock.Now());
  if (ended) {
    mGrants.Settle(ended->mBudget, ended->mReserved, ended->mUsed);
  }
  ReservationMessage message;
  message.mKind = PeerMessageKind::ReservationSettled;
  message.mId = aSettlement.mId;
  mSocket.Send(aSender, EncodeReservation(message));
}

void BudgetExchange::SettleRemoteReservations()
{
  for (const auto& it : mRemote.EndAll(mClock.Now())) {
    mGrants.Settle(it.mBudget, it.mReserved, it.mUsed);
  }
}

} // namespace gentianloom
