#include "gentianloom/gateway/CrashReportExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/membership/Keepers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace gentianloom {

namespace {

/// Interval at which due records are written and old entries are removed.
constexpr Millis kUpdateInterval{ 100 };
/// The keepers write a record one after the other, so that mostly the first one does.
constexpr Millis kRecordDelayPerRank{ 150 };
/// Interruptions in a row after which a request is not sent again for the same caller.
constexpr int kInterruptionsWithoutRetry = 2;
/// Reports to keepers in one second; a lost rack interrupts many requests at once.
constexpr int kMaxReportsPerSecond = 100;
/// Time for the other instances to answer a query.
constexpr Millis kQueryTimeout{ 150 };
/// Pause after a query, for each instance that it goes to, and at least.
constexpr Millis kQueryPausePerInstance{ 1 };
constexpr Millis kMinQueryPause{ 20 };
/// Interruptions of one endpoint that are remembered in case that it turns out to have ended.
constexpr std::ptrdiff_t kMaxStillOpenPerEndpoint = 64;
/// Longest age that a message may state.
constexpr Millis kMaxAge{ 300'000 };

Millis AgeAt(const nlohmann::json& aArray, std::size_t aIndex)
{
  constexpr auto kAnyAge = std::numeric_limits<std::int64_t>::max();
  return std::min(Millis(ReadDatagramNumber(aArray, aIndex, kAnyAge)), kMaxAge);
}

Millis Age(TimePoint aTime, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aTime);
}

} // namespace

std::string EncodeCrashMessage(const CrashMessage& aMessage)
{
  const auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind),
                                            aMessage.mKey,
                                            aMessage.mSentAgo.count(),
                                            aMessage.mEndedAgo.count() });
  return EncodeDatagram(json);
}

Result<CrashMessage> DecodeCrashMessage(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    return CrashMessage{
      PeerMessageKindOf(aBytes), aArray.at(1).get<std::string>(), AgeAt(aArray, 2), AgeAt(aArray, 3)
    };
  });
}

CrashReportExchange::CrashReportExchange(net::Loop& aLoop,
                                         PeerSocket& aSocket,
                                         std::string aSelf,
                                         std::function<std::vector<std::string>()> aPeers,
                                         Probe aProbe,
                                         EndpointEndExchange& aEnds,
                                         AsyncStore& aStore,
                                         const Clock& aClock,
                                         Metrics& aMetrics)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mSelf(std::move(aSelf))
  , mPeers(std::move(aPeers))
  , mProbe(std::move(aProbe))
  , mEnds(aEnds)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mBlocked(
      mEvidence,
      [this](const std::string& aKey) { return RecordDelay(aKey); },
      aStore,
      aClock,
      aMetrics)
  , mEvidenceRecord(
      mEvidence,
      mSelf,
      [this](const std::string& aKey) {
        return KeeperRank(aKey) < std::ptrdiff_t{ CrashEvidenceRecord::kRecorders };
      },
      [this] { return mPeers().size(); },
      aStore,
      aClock,
      aMetrics)
{
}

void CrashReportExchange::Start()
{
  constexpr std::array kKinds = { PeerMessageKind::CrashReport,
                                  PeerMessageKind::CrashCleared,
                                  PeerMessageKind::CrashQuery };
  for (const auto it : kKinds) {
    mSocket.SetHandler(it, [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
      OnDatagram(aBytes, aSender);
    });
  }
  net::Start(mLoop, "crash reports", Run());
}

std::optional<Millis> CrashReportExchange::BlockedFor(std::span<const std::string> aKeys) const
{
  std::optional<Millis> out;
  for (const auto& it : aKeys) {
    const auto blockedFor = mBlocked.BlockedFor(it);
    if (blockedFor) {
      out = std::max(out.value_or(Millis(0)), *blockedFor);
    }
  }
  return out;
}

bool CrashReportExchange::IsTrialDue(std::span<const std::string> aKeys) const
{
  return mBlocked.IsTrialDue(aKeys);
}

net::Task<bool> CrashReportExchange::TakeTrial(std::vector<std::string> aKeys)
{
  return mBlocked.TakeTrial(std::move(aKeys));
}

bool CrashReportExchange::MayRetry(const std::string& aKey) const
{
  const auto suspect = mEvidence.Find(aKey);
  return !suspect || suspect->mInterruptions < kInterruptionsWithoutRetry;
}

void CrashReportExchange::OnInterrupted(std::vector<std::string> aKeys,
                                        TimePoint aSentAt,
                                        const std::string& aAddress)
{
  const auto [unproved, isProbeNeeded] = mUnproved.try_emplace(aAddress);
  unproved->second.push_back({ std::move(aKeys), aSentAt, mClock.Now() });
  if (isProbeNeeded) {
    net::Start(mLoop, "endpoint probe", ProbeEndpoint(aAddress));
  }
}

net::Task<void> CrashReportExchange::ProbeEndpoint(std::string aAddress)
{
  const bool isAlive = co_await mProbe(aAddress);
  auto unproved = std::exchange(mUnproved[aAddress], {});
  mUnproved.erase(aAddress);
  if (!isAlive && !unproved.empty()) {
    const auto first =
      std::min_element(unproved.begin(), unproved.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mEndedAt < aRight.mEndedAt;
      });
    const auto firstEnd = co_await mEnds.FindFirstEnd(aAddress, first->mEndedAt);
    std::erase_if(unproved, [&](const auto& it) { return it.mSentAt > firstEnd; });
    ReportInterruptions(unproved);
  }
  if (!isAlive) {
    co_return;
  }
  // It seems to have reset the connections of these requests only, unless a new process is seen at
  // its address later: a supervisor may have accepted the connection.
  auto& stillOpen = mStillOpen[aAddress];
  stillOpen.insert(stillOpen.end(), unproved.begin(), unproved.end());
  if (std::ssize(stillOpen) > kMaxStillOpenPerEndpoint) {
    stillOpen.erase(stillOpen.begin(), stillOpen.end() - kMaxStillOpenPerEndpoint);
  }
}

void CrashReportExchange::OnNewProcess(const std::string& aAddress)
{
  mEnds.OnNewProcess(aAddress);
  for (auto* it : { &mStillOpen, &mUnproved }) {
    const auto known = it->find(aAddress);
    if (known != it->end()) {
      // A probe that is still running keeps its entry, which is empty now.
      ReportInterruptions(std::exchange(known->second, {}));
    }
  }
}

void CrashReportExchange::ReportInterruptions(std::span<const UnprovedInterruption> aInterruptions)
{
  // The last run with a key at the endpoint stands for all of them.
  std::map<std::string, const UnprovedInterruption*> byKey;
  for (const auto& it : aInterruptions) {
    for (const auto& key : it.mKeys) {
      auto*& last = byKey[key];
      last = last == nullptr || it.mSentAt > last->mSentAt ? &it : last;
    }
  }
  std::erase_if(byKey, [this](const auto& it) {
    return mEvidence.HasSurvivedSince(it.first, it.second->mSentAt);
  });
  const auto now = mClock.Now();
  for (const auto& [key, it] : byKey) {
    SendToKeepers(
      { PeerMessageKind::CrashReport, key, Age(it->mSentAt, now), Age(it->mEndedAt, now) });
    AddInterruption(key, it->mSentAt, it->mEndedAt);
  }
}

void CrashReportExchange::OnSurvived(std::span<const std::string> aKeys, TimePoint aSentAt)
{
  const auto now = mClock.Now();
  for (const auto& it : aKeys) {
    const bool wasSuspect = mEvidence.OnSurvived(it, aSentAt, now);
    if (wasSuspect) {
      SendToKeepers({ PeerMessageKind::CrashCleared, it, Age(aSentAt, now), Millis(0) });
    }
    mBlocked.OnSurvived(it, aSentAt);
  }
}

void CrashReportExchange::AddInterruption(const std::string& aKey,
                                          TimePoint aSentAt,
                                          TimePoint aEndedAt)
{
  mEvidence.OnInterrupted(aKey, aSentAt, aEndedAt);
  mEvidenceRecord.OnChanged(aKey);
  BlockIfSufficient(aKey);
}

void CrashReportExchange::BlockIfSufficient(const std::string& aKey)
{
  const auto suspect = mEvidence.Find(aKey);
  const bool isSufficient =
    suspect && suspect->mInterruptions >= CrashEvidence::kInterruptionsToBlock;
  if (isSufficient && !mBlocked.BlockedFor(aKey) && mConfirming.insert(aKey).second) {
    net::Start(mLoop, "crash query", ConfirmAndBlock(aKey));
  }
}

net::Task<void> CrashReportExchange::ConfirmAndBlock(std::string aKey)
{
  while (mClock.Now() < mNextQueryAt) {
    co_await net::Signal::Sleep(mLoop, kMinQueryPause);
  }
  const auto before = mEvidence.Find(aKey);
  if (before) {
    const auto peers = mPeers();
    const auto n = static_cast<std::int64_t>(peers.size());
    mNextQueryAt = mClock.Now() + std::max(kMinQueryPause, kQueryPausePerInstance * n);
    const auto bytes = EncodeCrashMessage(
      { PeerMessageKind::CrashQuery, aKey, Age(before->mFirstAt, mClock.Now()), Millis(0) });
    for (const auto& it : peers) {
      mSocket.Send(it, bytes);
    }
    co_await net::Signal::Sleep(mLoop, kQueryTimeout);
  }
  mConfirming.erase(aKey);
  const auto suspect = mEvidence.Find(aKey);
  if (suspect && suspect->mInterruptions >= CrashEvidence::kInterruptionsToBlock) {
    mBlocked.Block(aKey, suspect->mFirstAt);
  }
}

std::vector<std::string> CrashReportExchange::KeepersOf(const std::string& aKey) const
{
  auto instances = mPeers();
  instances.push_back(mSelf);
  return ChooseKeepers(StableHash(aKey), std::move(instances), kKeepers);
}

std::ptrdiff_t CrashReportExchange::KeeperRank(const std::string& aKey) const
{
  const auto keepers = KeepersOf(aKey);
  return std::find(keepers.begin(), keepers.end(), mSelf) - keepers.begin();
}

Millis CrashReportExchange::RecordDelay(const std::string& aKey) const
{
  return kRecordDelayPerRank * KeeperRank(aKey);
}

void CrashReportExchange::SendToKeepers(const CrashMessage& aMessage)
{
  const auto now = mClock.Now();
  if (now - mReportWindowAt >= Millis(1'000)) {
    mReportWindowAt = now;
    mReportsInWindow = 0;
  }
  if (++mReportsInWindow > kMaxReportsPerSecond) {
    return;
  }
  const auto bytes = EncodeCrashMessage(aMessage);
  for (const auto& it : KeepersOf(aMessage.mKey)) {
    if (it != mSelf) {
      mSocket.Send(it, bytes);
    }
  }
}

void CrashReportExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodeCrashMessage(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_crash_reports_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  const auto& it = message.value();
  const auto now = mClock.Now();
  const auto sentAt = now - it.mSentAgo;
  if (it.mKind == PeerMessageKind::CrashReport) {
    AddInterruption(it.mKey, sentAt, now - it.mEndedAgo);
    return;
  }
  if (it.mKind == PeerMessageKind::CrashCleared) {
    mEvidence.OnSurvived(it.mKey, sentAt, now);
    return;
  }
  const auto lastSurvived = mEvidence.LastSurvived(it.mKey);
  if (lastSurvived && *lastSurvived >= sentAt) {
    mSocket.Send(aSender,
                 EncodeCrashMessage(
                   { PeerMessageKind::CrashCleared, it.mKey, Age(*lastSurvived, now), Millis(0) }));
  }
}

net::Task<void> CrashReportExchange::Run()
{
  while (true) {
    RemoveExpired();
    co_await mBlocked.Update();
    const auto takenOver = co_await mEvidenceRecord.Update();
    for (const auto& it : takenOver) {
      BlockIfSufficient(it);
    }
    co_await net::Signal::Sleep(mLoop, kUpdateInterval);
  }
}

void CrashReportExchange::RemoveExpired()
{
  const auto now = mClock.Now();
  mEvidence.RemoveExpired(now);
  for (auto& [address, interruptions] : mStillOpen) {
    std::erase_if(interruptions,
                  [&](const auto& it) { return now - it.mEndedAt > kReplacementTime; });
  }
  std::erase_if(mStillOpen, [](const auto& it) { return it.second.empty(); });
}

} // namespace gentianloom
