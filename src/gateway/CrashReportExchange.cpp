#include "gentianloom/gateway/CrashReportExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/membership/Keepers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// Interval at which due records are written and old entries are removed.
constexpr Millis kUpdateInterval{ 100 };
/// The keepers write a record one after the other, so that mostly the first one does.
constexpr Millis kRecordDelayPerRank{ 150 };
/// A record is not written any more when the block ends within this time.
constexpr Millis kMinRecordTtl{ 30'000 };
/// Pause before a failed write is repeated.
constexpr Millis kWriteRetryInterval{ 300 };
/// Time to live of a record that takes a block back.
constexpr Millis kClearedRecordTtl{ 60'000 };
/// Interruptions in a row after which a request is not sent again for the same caller.
constexpr int kInterruptionsWithoutRetry = 2;
/// Reports to keepers in one second; a lost rack interrupts many requests at once.
constexpr int kMaxReportsPerSecond = 100;
/// Interruptions of one endpoint that are remembered in case that it turns out to have ended.
constexpr std::ptrdiff_t kMaxSurvivedPerEndpoint = 64;
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

std::string KeyOf(const std::string& aFingerprint)
{
  return std::string(kBlockedRequestPrefix) + aFingerprint;
}

} // namespace

std::string EncodeCrashMessage(const CrashMessage& aMessage)
{
  const auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind),
                                            aMessage.mFingerprint,
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

std::string ToText(const BlockedRequestRecord& aRecord)
{
  const nlohmann::json out = { { "blocked", aRecord.mIsBlocked },
                               { "first_interruption_ago_ms",
                                 aRecord.mFirstInterruptionAgo.count() },
                               { "block_time_left_ms", aRecord.mBlockTimeLeft.count() } };
  return out.dump();
}

Result<BlockedRequestRecord> ParseBlockedRequestRecord(std::string_view aText)
{
  try {
    const auto json = nlohmann::json::parse(aText);
    BlockedRequestRecord out;
    out.mIsBlocked = json.at("blocked").get<bool>();
    out.mFirstInterruptionAgo = Millis(json.at("first_interruption_ago_ms").get<std::int64_t>());
    out.mBlockTimeLeft = Millis(json.at("block_time_left_ms").get<std::int64_t>());
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::RequestPlace, "key-value service", ex.what());
  }
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
  , mStore(aStore)
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void CrashReportExchange::Start()
{
  for (const auto it : { PeerMessageKind::CrashReport, PeerMessageKind::CrashCleared }) {
    mSocket.SetHandler(
      it, [this](std::string_view aBytes, const PeerSocket::Address&) { OnDatagram(aBytes); });
  }
  net::Start(mLoop, "crash reports", Run());
}

std::optional<Millis> CrashReportExchange::BlockedFor(const std::string& aFingerprint) const
{
  const auto it = mBlocks.find(aFingerprint);
  const auto now = mClock.Now();
  if (it == mBlocks.end() || it->second.mIsCleared || now >= it->second.mUntil) {
    return std::nullopt;
  }
  return std::chrono::ceil<Millis>(it->second.mUntil - now);
}

bool CrashReportExchange::MayRetry(const std::string& aFingerprint) const
{
  const auto suspect = mEvidence.Find(aFingerprint);
  return !BlockedFor(aFingerprint) &&
         (!suspect || suspect->mInterruptions < kInterruptionsWithoutRetry);
}

void CrashReportExchange::OnInterrupted(const std::string& aFingerprint,
                                        TimePoint aSentAt,
                                        const std::string& aAddress)
{
  const auto [unproved, isProbeNeeded] = mUnproved.try_emplace(aAddress);
  unproved->second.push_back({ aFingerprint, aSentAt, mClock.Now() });
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
  auto& survived = mSurvived[aAddress];
  survived.insert(survived.end(), unproved.begin(), unproved.end());
  if (std::ssize(survived) > kMaxSurvivedPerEndpoint) {
    survived.erase(survived.begin(), survived.end() - kMaxSurvivedPerEndpoint);
  }
}

void CrashReportExchange::OnNewProcess(const std::string& aAddress)
{
  mEnds.OnNewProcess(aAddress);
  for (auto* it : { &mSurvived, &mUnproved }) {
    const auto known = it->find(aAddress);
    if (known != it->end()) {
      // A probe that is still running keeps its entry, which is empty now.
      ReportInterruptions(std::exchange(known->second, {}));
    }
  }
}

void CrashReportExchange::ReportInterruptions(std::span<const UnprovedInterruption> aInterruptions)
{
  const auto now = mClock.Now();
  for (const auto& it : aInterruptions) {
    SendToKeepers({ PeerMessageKind::CrashReport,
                    it.mFingerprint,
                    Age(it.mSentAt, now),
                    Age(it.mEndedAt, now) });
    AddInterruption(it.mFingerprint, it.mSentAt, it.mEndedAt);
  }
}

void CrashReportExchange::OnCompleted(const std::string& aFingerprint, TimePoint aSentAt)
{
  const auto now = mClock.Now();
  const bool wasSuspect = mEvidence.OnCompleted(aFingerprint, aSentAt, now);
  if (wasSuspect) {
    SendToKeepers({ PeerMessageKind::CrashCleared, aFingerprint, Age(aSentAt, now), Millis(0) });
  }
  const auto it = mBlocks.find(aFingerprint);
  if (it != mBlocks.end() && aSentAt >= it->second.mFirstInterruptionAt) {
    ClearBlock(aFingerprint, it->second);
  }
}

void CrashReportExchange::AddInterruption(const std::string& aFingerprint,
                                          TimePoint aSentAt,
                                          TimePoint aEndedAt)
{
  const bool isSufficient = mEvidence.OnInterrupted(aFingerprint, aSentAt, aEndedAt);
  const auto it = mBlocks.find(aFingerprint);
  const bool wasBlocked = it != mBlocks.end() && !it->second.mIsCleared;
  const bool isBlocked = wasBlocked && mClock.Now() < it->second.mUntil;
  const auto suspect = mEvidence.Find(aFingerprint);
  if (!isBlocked && suspect && (isSufficient || wasBlocked)) {
    BlockRequest(aFingerprint, suspect->mFirstAt);
  }
}

void CrashReportExchange::BlockRequest(const std::string& aFingerprint,
                                       TimePoint aFirstInterruptionAt)
{
  const auto now = mClock.Now();
  auto& block = mBlocks[aFingerprint];
  block.mFirstInterruptionAt = aFirstInterruptionAt;
  block.mUntil = now + kBlockTime;
  block.mIsCleared = false;
  block.mIsRecorded = false;
  block.mRecordAt = now + RecordDelay(aFingerprint);
  mMetrics.CounterOf("gentianloom_blocked_requests_total").Add();
  LogChange(LogLevel::Warning,
            "guard",
            "a request is blocked: endpoints ended under it one after the other",
            { { "fingerprint", aFingerprint },
              { "first_ago_ms", std::to_string(Age(aFirstInterruptionAt, now).count()) },
              { "block_ms", std::to_string(kBlockTime.count()) } });
}

void CrashReportExchange::ClearBlock(const std::string& aFingerprint, Block& aBlock)
{
  if (aBlock.mIsCleared) {
    return;
  }
  aBlock.mIsCleared = true;
  aBlock.mIsRecorded = false;
  aBlock.mRecordAt = mClock.Now();
  LogChange(LogLevel::Warning,
            "guard",
            "a request is not blocked any more: an endpoint completed it",
            { { "fingerprint", aFingerprint } });
}

std::vector<std::string> CrashReportExchange::KeepersOf(const std::string& aFingerprint) const
{
  auto instances = mPeers();
  instances.push_back(mSelf);
  return ChooseKeepers(StableHash(aFingerprint), std::move(instances), kKeepers);
}

Millis CrashReportExchange::RecordDelay(const std::string& aFingerprint) const
{
  const auto keepers = KeepersOf(aFingerprint);
  const auto rank = std::find(keepers.begin(), keepers.end(), mSelf) - keepers.begin();
  return kRecordDelayPerRank * rank;
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
  for (const auto& it : KeepersOf(aMessage.mFingerprint)) {
    if (it != mSelf) {
      mSocket.Send(it, bytes);
    }
  }
}

void CrashReportExchange::OnDatagram(std::string_view aBytes)
{
  const auto message = DecodeCrashMessage(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_crash_reports_malformed_total").Add();
    return;
  }
  const auto& it = message.value();
  const auto now = mClock.Now();
  if (it.mKind == PeerMessageKind::CrashReport) {
    AddInterruption(it.mFingerprint, now - it.mSentAgo, now - it.mEndedAgo);
    return;
  }
  mEvidence.Clear(it.mFingerprint);
}

void CrashReportExchange::OnRecord(const KeyValue& aEntry)
{
  const auto fingerprint = aEntry.mKey.substr(kBlockedRequestPrefix.size());
  const auto record = ParseBlockedRequestRecord(aEntry.mValue);
  if (!record) {
    LogChange(LogLevel::Warning,
              "guard",
              "ignored an invalid record of a blocked request",
              { { "key", aEntry.mKey }, { "error", ToString(record.error()) } });
    return;
  }
  if (!record.value().mIsBlocked) {
    mBlocks.erase(fingerprint);
    mEvidence.Clear(fingerprint);
    return;
  }
  const auto now = mClock.Now();
  auto& block = mBlocks[fingerprint];
  const bool isKnown = block.mUntil > now && !block.mIsCleared;
  if (!isKnown) {
    block.mFirstInterruptionAt = now - record.value().mFirstInterruptionAgo;
    block.mUntil = now + std::min(record.value().mBlockTimeLeft, kBlockTime);
    LogChange(LogLevel::Info,
              "guard",
              "a request is blocked by the record of another instance",
              { { "fingerprint", fingerprint } });
  }
  block.mIsCleared = false;
  block.mIsRecorded = true;
  block.mRevision = aEntry.mModRevision;
  if (mEvidence.HasCompletedSince(fingerprint, block.mFirstInterruptionAt)) {
    ClearBlock(fingerprint, block);
  }
}

void CrashReportExchange::OnRecordDeleted(std::string_view aKey)
{
  const auto it = mBlocks.find(std::string(aKey.substr(kBlockedRequestPrefix.size())));
  if (it != mBlocks.end()) {
    // Unless the block is about to end, the record has expired in an outage.
    it->second.mIsRecorded = false;
    it->second.mRevision = 0;
    it->second.mRecordAt = mClock.Now() + RecordDelay(it->first);
  }
}

void CrashReportExchange::OnRecords(std::span<const KeyValue> aEntries)
{
  for (auto& [fingerprint, block] : mBlocks) {
    block.mIsRecorded = false;
    block.mRevision = 0;
    block.mRecordAt = mClock.Now() + RecordDelay(fingerprint);
  }
  for (const auto& it : aEntries) {
    OnRecord(it);
  }
}

net::Task<void> CrashReportExchange::Run()
{
  while (true) {
    RemoveExpired();
    co_await WriteDueRecords();
    co_await net::Signal::Sleep(mLoop, kUpdateInterval);
  }
}

void CrashReportExchange::RemoveExpired()
{
  const auto now = mClock.Now();
  mEvidence.RemoveExpired(now);
  for (auto& [address, interruptions] : mSurvived) {
    std::erase_if(interruptions,
                  [&](const auto& it) { return now - it.mEndedAt > kReplacementTime; });
  }
  std::erase_if(mSurvived, [](const auto& it) { return it.second.empty(); });
  std::erase_if(mBlocks, [&](const auto& it) { return now >= it.second.mUntil + kBlockTime; });
}

net::Task<void> CrashReportExchange::WriteDueRecords()
{
  const auto now = mClock.Now();
  std::vector<std::string> due;
  for (const auto& [fingerprint, block] : mBlocks) {
    const bool isWorthRecording = block.mUntil - now >= kMinRecordTtl;
    if (!block.mIsRecorded && now >= block.mRecordAt && isWorthRecording) {
      due.push_back(fingerprint);
    }
  }
  for (const auto& it : due) {
    co_await WriteRecord(it);
  }
}

net::Task<void> CrashReportExchange::WriteRecord(std::string aFingerprint)
{
  const bool isCleared = mBlocks[aFingerprint].mIsCleared;
  const auto now = mClock.Now();
  mBlocks[aFingerprint].mRecordAt = now + kWriteRetryInterval;
  const auto timeLeft = Age(now, mBlocks[aFingerprint].mUntil);
  const auto lease = co_await mStore.GrantLease(isCleared ? kClearedRecordTtl : timeLeft);
  const auto block = mBlocks.find(aFingerprint);
  if (!lease || block == mBlocks.end() || block->second.mIsCleared != isCleared ||
      block->second.mIsRecorded) {
    co_return;
  }
  const BlockedRequestRecord record{ !isCleared,
                                     Age(block->second.mFirstInterruptionAt, now),
                                     timeLeft };
  Transaction transaction;
  transaction.mCompares.push_back({ KeyOf(aFingerprint), block->second.mRevision });
  transaction.mWrites.push_back({ KeyOf(aFingerprint), ToText(record), lease.value() });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  const auto it = mBlocks.find(aFingerprint);
  if (it == mBlocks.end() || it->second.mIsCleared != isCleared) {
    co_return;
  }
  if (answer.mCommit.mEffect == Effect::Applied) {
    it->second.mIsRecorded = true;
    it->second.mRevision = answer.mCommit.mRevision;
    if (isCleared) {
      mBlocks.erase(it);
    }
    co_return;
  }
  for (const auto& current : answer.mCurrent) {
    OnRecord(current); // another instance was first
  }
}

} // namespace gentianloom
