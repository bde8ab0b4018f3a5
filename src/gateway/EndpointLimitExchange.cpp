#include "gentianloom/gateway/EndpointLimitExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/membership/Keepers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace gentianloom {

namespace {

static_assert(EndpointLimitExchange::kKeepers == kWarmUpKeepers);

constexpr double kMilli = 1'000;
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
/// Largest limit in thousandths of a request a second that a message may state.
constexpr std::int64_t kMaxLimitMillis = 1'000'000'000;
/// Longest age, and longest time of a denial, that a message may state.
constexpr Micros kMaxAge{ 600'000'000 };
constexpr Millis kMaxWait{ 10'000 };
/// Longest remaining warm-up time that a message may state.
constexpr Millis kMaxWarmUp{ 86'400'000 };
/// Optional last elements of a message, which older versions neither send nor read.
constexpr std::size_t kFirstWarmUpElement = 8;
constexpr std::size_t kLastWarmUpElement = 9;

std::string KeyOf(const EndpointLimitMessage& aMessage)
{
  return aMessage.mEndpoint + "@" + std::to_string(aMessage.mStartedAt);
}

std::int64_t ToMillis(double aRequestsPerSecond)
{
  return std::min<std::int64_t>(std::llround(aRequestsPerSecond * kMilli), kMaxLimitMillis);
}

WarmUpStatement ReadWarmUp(const nlohmann::json& aArray)
{
  WarmUpStatement out;
  out.mRequestsPerSecond =
    static_cast<double>(ReadDatagramNumber(aArray, kFirstWarmUpElement, kMaxLimitMillis)) / kMilli;
  out.mRemaining = Millis(ReadDatagramNumber(aArray, kLastWarmUpElement, kMaxWarmUp.count()));
  return out;
}

std::string ToText(Micros aTime)
{
  return std::to_string(std::chrono::ceil<Millis>(aTime).count());
}

std::string ToText(std::optional<double> aRequestsPerSecond)
{
  return aRequestsPerSecond ? std::to_string(*aRequestsPerSecond) : "none";
}

} // namespace

std::string EncodeEndpointLimit(const EndpointLimitMessage& aMessage)
{
  nlohmann::json limit;
  if (aMessage.mRequestsPerSecond) {
    limit = ToMillis(*aMessage.mRequestsPerSecond);
  }
  auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind),
                                      aMessage.mQuery,
                                      aMessage.mEndpoint,
                                      aMessage.mStartedAt,
                                      limit,
                                      std::min(aMessage.mStatedAgo, kMaxAge).count(),
                                      aMessage.mIsGranted,
                                      aMessage.mWait.count() });
  if (aMessage.mWarmUp) {
    json.push_back(ToMillis(aMessage.mWarmUp->mRequestsPerSecond));
    json.push_back(aMessage.mWarmUp->mRemaining.count());
  }
  return EncodeDatagram(json);
}

Result<EndpointLimitMessage> DecodeEndpointLimit(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    EndpointLimitMessage out;
    out.mKind = PeerMessageKindOf(aBytes);
    out.mQuery = ReadDatagramId(aArray, 1);
    out.mEndpoint = aArray.at(2).get<std::string>();
    out.mStartedAt = ReadDatagramNumber(aArray, 3, kMaxNumber);
    if (!aArray.at(4).is_null()) {
      out.mRequestsPerSecond =
        static_cast<double>(ReadDatagramNumber(aArray, 4, kMaxLimitMillis)) / kMilli;
    }
    out.mStatedAgo = Micros(ReadDatagramNumber(aArray, 5, kMaxAge.count()));
    out.mIsGranted = aArray.at(6).get<bool>();
    out.mWait = Millis(ReadDatagramNumber(aArray, 7, kMaxWait.count()));
    if (aArray.size() > kLastWarmUpElement) {
      out.mWarmUp = ReadWarmUp(aArray);
    }
    return out;
  });
}

EndpointLimitExchange::EndpointLimitExchange(net::Loop& aLoop,
                                             PeerSocket& aSocket,
                                             std::string aSelf,
                                             std::function<std::vector<std::string>()> aPeers,
                                             EndpointRegistry& aEndpoints,
                                             const Clock& aClock,
                                             Metrics& aMetrics,
                                             WarmUpRule aWarmUpRule)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mSelf(std::move(aSelf))
  , mPeers(std::move(aPeers))
  , mEndpoints(aEndpoints)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mWarmUpRule(std::move(aWarmUpRule))
{
}

void EndpointLimitExchange::Start()
{
  for (const auto it : { PeerMessageKind::EndpointLimit,
                         PeerMessageKind::PermitQuery,
                         PeerMessageKind::PermitAnswer,
                         PeerMessageKind::EndpointFull }) {
    mSocket.SetHandler(it, [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
      OnDatagram(aBytes, aSender);
    });
  }
}

EndpointLimitMessage EndpointLimitExchange::MessageAbout(const Endpoint& aEndpoint,
                                                         PeerMessageKind aKind) const
{
  EndpointLimitMessage out;
  out.mKind = aKind;
  out.mEndpoint = aEndpoint.mEntry.mId;
  out.mStartedAt = std::max<std::int64_t>(0, aEndpoint.mEntry.mStartedAt);
  out.mRequestsPerSecond = aEndpoint.mRateLimit.RequestsPerSecond();
  const auto age = mClock.Now() - aEndpoint.mRateLimit.StatedAt();
  out.mStatedAgo = std::chrono::duration_cast<Micros>(age);
  return out;
}

std::vector<std::string> EndpointLimitExchange::KeepersOf(const std::string& aEndpoint) const
{
  auto instances = mPeers();
  instances.push_back(mSelf);
  return ChooseKeepers(StableHash(aEndpoint), std::move(instances), kKeepers);
}

std::optional<WarmUpStatement> EndpointLimitExchange::WarmUpOf(const Endpoint& aEndpoint) const
{
  const auto now = mClock.Now();
  const auto limit = aEndpoint.mWarmUp.Limit(now);
  if (!limit) {
    return std::nullopt;
  }
  return WarmUpStatement{ *limit, std::chrono::ceil<Millis>(aEndpoint.mWarmUp.TimeLeft(now)) };
}

net::Task<std::optional<TimePoint>> EndpointLimitExchange::Take(EndpointRegistry::Ptr aEndpoint)
{
  auto query = MessageAbout(*aEndpoint, PeerMessageKind::PermitQuery);
  query.mWarmUp = WarmUpOf(*aEndpoint);
  const auto answer = co_await AskKeepers(query);
  if (!answer) {
    aEndpoint->mRateLimit.OnDenied(mClock.Now() + kNoKeeperPause);
    Count("no answer", query);
    co_return std::nullopt;
  }
  OnAnswer(*aEndpoint, *answer);
  Count(answer->mIsGranted ? "granted" : "denied", *answer);
  if (!answer->mIsGranted) {
    co_return std::nullopt;
  }
  co_return answer->mWarmUp ? answer->mAskedAt + kWarmUpPermitLife : TimePoint::max();
}

net::Task<std::optional<EndpointLimitMessage>> EndpointLimitExchange::AskKeepers(
  EndpointLimitMessage aQuery)
{
  const bool mayAskSelf = !aQuery.mWarmUp || !mWarmUpRule.mKnowsPeers || mWarmUpRule.mKnowsPeers();
  for (const auto& keeper : KeepersOf(aQuery.mEndpoint)) {
    if (keeper == mSelf && !mayAskSelf) {
      continue;
    }
    const auto askedAt = mClock.Now();
    std::optional<EndpointLimitMessage> answer;
    if (keeper == mSelf) {
      answer = Answer(aQuery);
    } else {
      answer = co_await Ask(keeper, aQuery);
    }
    // An older version grants what it knows no limit of.
    const bool keepsLimits = answer && (!aQuery.mWarmUp || answer->mWarmUp);
    if (keepsLimits) {
      answer->mAskedAt = askedAt;
      co_return answer;
    }
  }
  co_return std::nullopt;
}

void EndpointLimitExchange::OnAnswer(Endpoint& aEndpoint, const EndpointLimitMessage& aAnswer)
{
  const auto now = mClock.Now();
  aEndpoint.mRateLimit.OnStated(aAnswer.mRequestsPerSecond, now - aAnswer.mStatedAgo);
  if (aAnswer.mIsGranted) {
    return;
  }
  auto until = now + aAnswer.mWait;
  // Of several requests that were denied meanwhile, the first may ask when its turn comes.
  const auto known = aEndpoint.mRateLimit.DeniedUntil();
  if (aAnswer.mWarmUp && known > now) {
    until = std::min<TimePoint>(until, known);
  }
  aEndpoint.mRateLimit.OnDenied(until);
}

void EndpointLimitExchange::Count(const char* aOutcome, const EndpointLimitMessage& aQuery)
{
  const auto* const reason = aQuery.mWarmUp ? "warm-up" : "stated limit";
  mMetrics
    .CounterOf("gentianloom_endpoint_permits_total",
               std::string("outcome=\"") + aOutcome + "\",reason=\"" + reason + "\"")
    .Add();
}

net::Task<std::optional<EndpointLimitMessage>> EndpointLimitExchange::Ask(
  std::string aKeeper,
  EndpointLimitMessage aQuery)
{
  const auto now = mClock.Now();
  const auto unresponsive = mUnresponsiveUntil.find(aKeeper);
  if (unresponsive != mUnresponsiveUntil.end() && now < unresponsive->second) {
    co_return std::nullopt;
  }
  aQuery.mQuery = mNextQuery++;
  net::Signal signal(mLoop);
  mQueries[aQuery.mQuery] = { std::nullopt, &signal };
  mSocket.Send(aKeeper, EncodeEndpointLimit(aQuery));
  const auto deadline = now + kAnswerTimeout;
  while (!mQueries[aQuery.mQuery].mAnswer && mClock.Now() < deadline) {
    co_await signal.WaitFor(deadline - mClock.Now());
  }
  const auto out = mQueries[aQuery.mQuery].mAnswer;
  mQueries.erase(aQuery.mQuery);
  if (!out) {
    std::erase_if(mUnresponsiveUntil, [&](const auto& it) { return it.second <= now; });
    mUnresponsiveUntil[aKeeper] = mClock.Now() + kUnresponsiveTime;
  }
  co_return out;
}

EndpointLimitMessage EndpointLimitExchange::Answer(const EndpointLimitMessage& aQuery)
{
  Keep(aQuery);
  const auto now = mClock.Now();
  auto& kept = mKept[KeyOf(aQuery)];
  kept.mUsedAt = now;
  auto out = aQuery;
  out.mKind = PeerMessageKind::PermitAnswer;
  out.mRequestsPerSecond = kept.mLimit.RequestsPerSecond();
  out.mStatedAgo = std::chrono::duration_cast<Micros>(now - kept.mLimit.StatedAt());
  out.mWarmUp = WarmUpFor(aQuery);
  const auto& bound = mWarmUpRule.mBound;
  if (!out.mWarmUp || !bound) {
    const double rate = out.mRequestsPerSecond.value_or(0);
    out.mIsGranted = !out.mRequestsPerSecond || kept.mPermits.TryTake(rate, now);
    if (!out.mIsGranted) {
      const auto untilPermit = std::chrono::ceil<Millis>(kept.mPermits.TimeUntilPermit(rate));
      out.mWait = std::min(kMaxWait, std::max(untilPermit, DenialTime()));
    }
    return out;
  }
  const double warmUpRate = KeeperRate(out.mWarmUp->mRequestsPerSecond, *bound);
  const double rate = std::max(std::min(out.mRequestsPerSecond.value_or(warmUpRate), warmUpRate),
                               PermitBucket::kMinRequestsPerSecond);
  out.mIsGranted = kept.mPermits.TryTake(rate, now, KeeperSavedSeconds(rate));
  if (!out.mIsGranted) {
    const auto wait =
      kept.mTurns.Next(rate, kept.mPermits.TimeUntilPermit(rate), DenialTime(), now);
    out.mWait = std::min(kMaxWait, std::chrono::ceil<Millis>(wait));
  }
  return out;
}

Millis EndpointLimitExchange::DenialTime() const
{
  return kDenialPerInstance * (static_cast<std::int64_t>(mPeers().size()) + 1);
}

std::optional<WarmUpStatement> EndpointLimitExchange::WarmUpFor(
  const EndpointLimitMessage& aQuery) const
{
  if (!mWarmUpRule.mBound || aQuery.mWarmUp) {
    return mWarmUpRule.mBound ? aQuery.mWarmUp : std::nullopt;
  }
  const auto endpoint = ListedEndpoint(aQuery);
  return endpoint ? WarmUpOf(*endpoint) : std::nullopt;
}

bool EndpointLimitExchange::Keep(const EndpointLimitMessage& aStatement)
{
  if (mKept.size() >= kMaxKept) {
    DropOldest();
  }
  const auto now = mClock.Now();
  auto& kept = mKept[KeyOf(aStatement)];
  kept.mUsedAt = now;
  return kept.mLimit.OnStated(aStatement.mRequestsPerSecond, now - aStatement.mStatedAgo);
}

void EndpointLimitExchange::DropOldest()
{
  const auto oldest =
    std::min_element(mKept.begin(), mKept.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mUsedAt < aRight.second.mUsedAt;
    });
  mKept.erase(oldest);
}

void EndpointLimitExchange::OnFull(const EndpointRegistry::Ptr& aEndpoint)
{
  const auto now = mClock.Now();
  if (aEndpoint->mHold.IsPaused(now)) {
    return; // the others were told under the request that was refused before
  }
  aEndpoint->mHold.Begin(kFullPause, now, Jitter());
  aEndpoint->mWindow.OnRefused(aEndpoint->mLoad.InFlight());
  auto message = MessageAbout(*aEndpoint, PeerMessageKind::EndpointFull);
  message.mWait = kFullPause;
  SendToAll(message);
  mMetrics.CounterOf("gentianloom_endpoint_full_total").Add();
}

void EndpointLimitExchange::OnStated(const EndpointRegistry::Ptr& aEndpoint,
                                     std::optional<double> aRequestsPerSecond)
{
  auto& limit = aEndpoint->mRateLimit;
  const bool isChanged = limit.OnStated(aRequestsPerSecond, mClock.Now());
  if (isChanged) {
    LogChange(
      LogLevel::Info,
      "endpoints",
      "the rate limit that an endpoint states has changed",
      { { "endpoint", aEndpoint->mEntry.mId }, { "requests_per_s", ToText(aRequestsPerSecond) } });
  }
  if (!isChanged && !aRequestsPerSecond) {
    return;
  }
  const auto statement = MessageAbout(*aEndpoint, PeerMessageKind::EndpointLimit);
  for (const auto& it : KeepersOf(statement.mEndpoint)) {
    if (it != mSelf) {
      mSocket.Send(it, EncodeEndpointLimit(statement));
    } else if (Keep(statement)) {
      Announce(statement);
    }
  }
}

void EndpointLimitExchange::OnWarmUpStated(const EndpointRegistry::Ptr& aEndpoint,
                                           Millis aRemaining)
{
  const bool isNews = aEndpoint->mWarmUp.OnStated(aRemaining, mClock.Now());
  const auto limit = aEndpoint->mWarmUp.Limit();
  if (!isNews || !limit) {
    return;
  }
  auto statement = MessageAbout(*aEndpoint, PeerMessageKind::EndpointLimit);
  statement.mWarmUp = WarmUpStatement{ *limit, aRemaining };
  for (const auto& it : KeepersOf(statement.mEndpoint)) {
    if (it != mSelf) {
      mSocket.Send(it, EncodeEndpointLimit(statement));
    } else {
      SendToAll(statement);
    }
  }
}

void EndpointLimitExchange::ApplyWarmUp(const EndpointLimitMessage& aStatement)
{
  const auto endpoint = ListedEndpoint(aStatement);
  if (!endpoint || !aStatement.mWarmUp) {
    return;
  }
  const bool isNews = endpoint->mWarmUp.OnStated(aStatement.mWarmUp->mRemaining, mClock.Now());
  const auto keepers = KeepersOf(aStatement.mEndpoint);
  if (isNews && std::find(keepers.begin(), keepers.end(), mSelf) != keepers.end()) {
    SendToAll(aStatement);
  }
}

void EndpointLimitExchange::ReportWarmUps()
{
  if (!mWarmUpRule.mBound) {
    return;
  }
  const auto now = mClock.Now();
  std::set<std::string> warmingUp;
  for (const auto& [id, it] : mEndpoints.All()) {
    const auto limit = it->mWarmUp.Limit(now);
    if (!limit) {
      continue;
    }
    warmingUp.insert(id);
    if (!mWarmingUp.contains(id)) {
      LogChange(LogLevel::Info,
                "endpoints",
                "an endpoint has begun to warm up",
                { { "endpoint", id },
                  { "requests_per_s", ToText(limit) },
                  { "remaining_ms", ToText(it->mWarmUp.TimeLeft(now)) } });
    }
  }
  for (const auto& it : mWarmingUp) {
    if (!warmingUp.contains(it)) {
      LogChange(
        LogLevel::Info, "endpoints", "an endpoint no longer warms up", { { "endpoint", it } });
    }
  }
  mWarmingUp = std::move(warmingUp);
  mMetrics.GaugeOf("gentianloom_endpoints_warming_up")
    .Set(static_cast<std::int64_t>(mWarmingUp.size()));
}

void EndpointLimitExchange::SendToAll(const EndpointLimitMessage& aMessage)
{
  const auto bytes = EncodeEndpointLimit(aMessage);
  for (const auto& it : mPeers()) {
    mSocket.Send(it, bytes);
  }
}

void EndpointLimitExchange::Announce(const EndpointLimitMessage& aStatement)
{
  if (KeepersOf(aStatement.mEndpoint).front() == mSelf) {
    SendToAll(aStatement);
  }
}

EndpointRegistry::Ptr EndpointLimitExchange::ListedEndpoint(
  const EndpointLimitMessage& aMessage) const
{
  const auto it = mEndpoints.All().find(aMessage.mEndpoint);
  const bool isSameProcess =
    it != mEndpoints.All().end() &&
    std::max<std::int64_t>(0, it->second->mEntry.mStartedAt) == aMessage.mStartedAt;
  return isSameProcess ? it->second : nullptr;
}

void EndpointLimitExchange::Apply(const EndpointLimitMessage& aStatement)
{
  const auto endpoint = ListedEndpoint(aStatement);
  if (endpoint) {
    endpoint->mRateLimit.OnStated(aStatement.mRequestsPerSecond,
                                  mClock.Now() - aStatement.mStatedAgo);
  }
}

void EndpointLimitExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodeEndpointLimit(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_endpoint_limits_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  const auto& it = message.value();
  if (it.mKind == PeerMessageKind::PermitQuery) {
    mSocket.Send(aSender, EncodeEndpointLimit(Answer(it)));
    return;
  }
  if (it.mKind == PeerMessageKind::EndpointLimit) {
    Apply(it);
    ApplyWarmUp(it);
    if (Keep(it)) {
      Announce(it);
    }
    return;
  }
  if (it.mKind == PeerMessageKind::EndpointFull) {
    const auto endpoint = ListedEndpoint(it);
    if (endpoint) {
      endpoint->mHold.Begin(std::min(it.mWait, kFullPause), mClock.Now(), Jitter());
      endpoint->mWindow.OnRefused(endpoint->mLoad.InFlight());
    }
    return;
  }
  const auto query = mQueries.find(it.mQuery);
  if (query != mQueries.end()) {
    query->second.mAnswer = it;
    query->second.mSignal->Notify();
  }
}

} // namespace gentianloom
