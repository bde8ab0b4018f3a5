#include "gentianloom/gateway/BlockedRequests.h"

#include "gentianloom/base/BoundedJson.h"
#include "gentianloom/base/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace gentianloom {

namespace {

/// A record is not written any more when the block ends within this time.
constexpr Millis kMinRecordTtl{ 30'000 };
/// Pause before a failed write is repeated.
constexpr Millis kWriteRetryInterval{ 300 };
/// Shortest time that is stated for a block: a trial that is due may be taken by another request.
constexpr Millis kMinBlockedTime{ 400 };
/// Time to live of a record that takes a block back.
constexpr Millis kClearedRecordTtl{ 60'000 };
/// Longest time to live that the key-value service grants. A record that expires before its block
/// ends is written again.
constexpr Millis kMaxRecordTtl{ 600'000 };
/// Longest time, and most trials, that a record may state: clocks count nanoseconds in 64 bits.
constexpr Millis kMaxRecordTime = std::chrono::hours(24 * 365);
constexpr std::int64_t kMaxRecordTrials = 1'000'000;

Millis ToMillis(TimePoint::duration aTime)
{
  return std::chrono::duration_cast<Millis>(aTime);
}

std::string RecordKeyOf(const std::string& aKey)
{
  return std::string(kBlockedRequestPrefix) + aKey;
}

std::string KeyOf(std::string_view aRecordKey)
{
  return std::string(aRecordKey.substr(kBlockedRequestPrefix.size()));
}

} // namespace

std::string ToText(const BlockedRequestRecord& aRecord)
{
  const nlohmann::json out = { { "blocked", aRecord.mIsBlocked },
                               { "first_interruption_ago_ms",
                                 aRecord.mFirstInterruptionAgo.count() },
                               { "block_time_left_ms", aRecord.mBlockTimeLeft.count() },
                               { "trials", aRecord.mTrials } };
  return out.dump();
}

Result<BlockedRequestRecord> ParseBlockedRequestRecord(std::string_view aText)
{
  try {
    BOOST_OUTCOME_TRY(json, ParseBoundedJson(aText));
    BlockedRequestRecord out;
    out.mIsBlocked = json.at("blocked").get<bool>();
    const auto readTime = [&json](const char* aName) {
      return Millis(ToBoundedNumber(json.at(aName), kMaxRecordTime.count()));
    };
    out.mFirstInterruptionAgo = readTime("first_interruption_ago_ms");
    out.mBlockTimeLeft = readTime("block_time_left_ms");
    const auto trials = json.find("trials");
    out.mTrials =
      trials == json.end() ? 0 : static_cast<int>(ToBoundedNumber(*trials, kMaxRecordTrials));
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::RequestPlace, "key-value service", ex.what());
  }
}

BlockedRequests::BlockedRequests(CrashEvidence& aEvidence,
                                 std::function<Millis(const std::string&)> aRecordDelay,
                                 AsyncStore& aStore,
                                 const Clock& aClock,
                                 Metrics& aMetrics)
  : mEvidence(aEvidence)
  , mRecordDelay(std::move(aRecordDelay))
  , mStore(aStore)
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

bool BlockedRequests::IsBlocked(const Entry& aBlock) const
{
  return !aBlock.mIsCleared && mClock.Now() < aBlock.mUntil;
}

std::optional<Millis> BlockedRequests::BlockedFor(const std::string& aKey) const
{
  const auto it = mBlocks.find(aKey);
  if (it == mBlocks.end() || !IsBlocked(it->second)) {
    return std::nullopt;
  }
  const auto end = std::min(it->second.mUntil, it->second.mTrialAt);
  return std::max(kMinBlockedTime, std::chrono::ceil<Millis>(end - mClock.Now()));
}

std::vector<std::string> BlockedRequests::BlockedKeys(std::span<const std::string> aKeys) const
{
  std::vector<std::string> out;
  for (const auto& it : aKeys) {
    const auto block = mBlocks.find(it);
    if (block != mBlocks.end() && IsBlocked(block->second)) {
      out.push_back(it);
    }
  }
  return out;
}

bool BlockedRequests::IsTrialDue(std::span<const std::string> aKeys) const
{
  const auto blocked = BlockedKeys(aKeys);
  const auto now = mClock.Now();
  const Millis delay = blocked.size() > 1 ? kCombinedTrialDelay : Millis(0);
  return std::all_of(blocked.begin(), blocked.end(), [&](const std::string& it) {
    const auto& block = mBlocks.at(it);
    return block.mIsRecorded && now >= block.mTrialAt + delay;
  });
}

void BlockedRequests::SetTrials(Entry& aBlock, int aTrials) const
{
  constexpr int kLast = std::ssize(kTrialPauses) - 1;
  aBlock.mTrials = aTrials;
  aBlock.mTrialAt = mClock.Now() + kTrialPauses[std::clamp(aTrials, 0, kLast)];
}

BlockedRequestRecord BlockedRequests::RecordOf(const Entry& aBlock) const
{
  const auto now = mClock.Now();
  return { !aBlock.mIsCleared,
           ToMillis(now - aBlock.mFirstInterruptionAt),
           ToMillis(aBlock.mUntil - now),
           aBlock.mTrials };
}

net::Task<bool> BlockedRequests::TakeTrial(std::vector<std::string> aKeys)
{
  if (!IsTrialDue(aKeys)) {
    co_return false;
  }
  const auto keys = BlockedKeys(aKeys);
  std::map<std::string, int> trials;
  Transaction transaction;
  for (const auto& it : keys) {
    auto& block = mBlocks.at(it);
    block.mTrialAt = mClock.Now() + kWriteRetryInterval; // no other request meanwhile
    auto record = RecordOf(block);
    record.mTrials += 1;
    record.mBlockTimeLeft = kBlockTime;
    trials[it] = record.mTrials;
    transaction.mCompares.push_back({ RecordKeyOf(it), block.mRevision });
    transaction.mWrites.push_back({ RecordKeyOf(it), ToText(record), 0 });
  }
  const auto lease = co_await mStore.GrantLease(kMaxRecordTtl);
  if (!lease) {
    co_return false;
  }
  for (auto& it : transaction.mWrites) {
    it.mLease = lease.value();
  }
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect != Effect::Applied) {
    for (const auto& it : answer.mCurrent) {
      OnRecord(it); // another instance was first
    }
    co_return false;
  }
  for (const auto& [key, count] : trials) {
    const auto it = mBlocks.find(key);
    if (it != mBlocks.end()) {
      SetTrials(it->second, count);
      it->second.mUntil = mClock.Now() + kBlockTime;
      it->second.mRevision = answer.mCommit.mRevision;
    }
    LogChange(LogLevel::Info,
              "guard",
              "a blocked request is sent as a trial",
              { { "key", key }, { "trials", std::to_string(count) } });
  }
  co_return true;
}

void BlockedRequests::Block(const std::string& aKey, TimePoint aFirstInterruptionAt)
{
  const auto now = mClock.Now();
  auto& block = mBlocks[aKey];
  if (IsBlocked(block)) {
    return;
  }
  block.mFirstInterruptionAt = aFirstInterruptionAt;
  block.mUntil = now + kBlockTime;
  block.mIsCleared = false;
  block.mIsRecorded = false;
  block.mRecordAt = now + mRecordDelay(aKey);
  SetTrials(block, 0);
  mMetrics.CounterOf("gentianloom_blocked_requests_total").Add();
  LogChange(LogLevel::Warning,
            "guard",
            "requests are blocked: endpoints ended under them one after the other",
            { { "key", aKey },
              { "first_ago_ms", std::to_string(ToMillis(now - aFirstInterruptionAt).count()) } });
}

void BlockedRequests::OnSurvived(const std::string& aKey, TimePoint aSentAt)
{
  const auto it = mBlocks.find(aKey);
  if (it != mBlocks.end() && aSentAt >= it->second.mFirstInterruptionAt) {
    Clear(aKey, it->second);
  }
}

void BlockedRequests::Clear(const std::string& aKey, Entry& aBlock)
{
  if (aBlock.mIsCleared) {
    return;
  }
  aBlock.mIsCleared = true;
  aBlock.mIsRecorded = false;
  aBlock.mRecordAt = mClock.Now();
  LogChange(LogLevel::Warning,
            "guard",
            "requests are not blocked any more: an endpoint survived one",
            { { "key", aKey } });
}

void BlockedRequests::OnRecord(const KeyValue& aEntry)
{
  const auto key = KeyOf(aEntry.mKey);
  const auto parsed = ParseBlockedRequestRecord(aEntry.mValue);
  if (!parsed) {
    LogChange(LogLevel::Warning,
              "guard",
              "ignored an invalid record of blocked requests",
              { { "record", aEntry.mKey }, { "error", ToString(parsed.error()) } });
    WriteAgain(key, aEntry.mModRevision);
    return;
  }
  const auto& record = parsed.value();
  if (!record.mIsBlocked) {
    mBlocks.erase(key);
    mEvidence.Clear(key);
    return;
  }
  const auto now = mClock.Now();
  auto& block = mBlocks[key];
  const bool isKnown = IsBlocked(block);
  if (!isKnown) {
    block.mFirstInterruptionAt = now - record.mFirstInterruptionAgo;
    LogChange(LogLevel::Info,
              "guard",
              "requests are blocked by the record of another instance",
              { { "key", key }, { "trials", std::to_string(record.mTrials) } });
  }
  if (!isKnown || record.mTrials != block.mTrials) {
    block.mUntil = now + std::min(record.mBlockTimeLeft, kBlockTime);
    SetTrials(block, record.mTrials);
  }
  block.mIsCleared = false;
  block.mIsRecorded = true;
  block.mRevision = aEntry.mModRevision;
  if (mEvidence.HasSurvivedSince(key, block.mFirstInterruptionAt)) {
    Clear(key, block);
  }
}

void BlockedRequests::WriteAgain(const std::string& aKey, Revision aRevision)
{
  const auto it = mBlocks.find(aKey);
  if (it != mBlocks.end()) {
    it->second.mIsRecorded = false;
    it->second.mRevision = aRevision;
    it->second.mRecordAt = mClock.Now() + mRecordDelay(aKey);
  }
}

void BlockedRequests::OnRecordDeleted(std::string_view aRecordKey)
{
  // Unless the block is about to end, the record has expired in an outage.
  WriteAgain(KeyOf(aRecordKey), 0);
}

void BlockedRequests::OnRecords(std::span<const KeyValue> aEntries)
{
  for (auto& [key, block] : mBlocks) {
    block.mIsRecorded = false;
    block.mRevision = 0;
    block.mRecordAt = mClock.Now() + mRecordDelay(key);
  }
  for (const auto& it : aEntries) {
    OnRecord(it);
  }
}

net::Task<void> BlockedRequests::Update()
{
  const auto now = mClock.Now();
  std::erase_if(mBlocks, [&](const auto& it) { return now >= it.second.mUntil; });
  std::vector<std::string> due;
  for (const auto& [key, block] : mBlocks) {
    const bool isWorthRecording = block.mUntil - now >= kMinRecordTtl;
    if (!block.mIsRecorded && now >= block.mRecordAt && isWorthRecording) {
      due.push_back(key);
    }
  }
  for (const auto& it : due) {
    co_await WriteRecord(it);
  }
}

net::Task<void> BlockedRequests::WriteRecord(std::string aKey)
{
  const bool isCleared = mBlocks[aKey].mIsCleared;
  mBlocks[aKey].mRecordAt = mClock.Now() + kWriteRetryInterval;
  const auto timeLeft = ToMillis(mBlocks[aKey].mUntil - mClock.Now());
  const auto lease =
    co_await mStore.GrantLease(isCleared ? kClearedRecordTtl : std::min(timeLeft, kMaxRecordTtl));
  const auto block = mBlocks.find(aKey);
  if (!lease || block == mBlocks.end() || block->second.mIsCleared != isCleared ||
      block->second.mIsRecorded) {
    co_return;
  }
  Transaction transaction;
  transaction.mCompares.push_back({ RecordKeyOf(aKey), block->second.mRevision });
  transaction.mWrites.push_back(
    { RecordKeyOf(aKey), ToText(RecordOf(block->second)), lease.value() });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  const auto it = mBlocks.find(aKey);
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
