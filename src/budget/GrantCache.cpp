#include "gentianloom/base/Log.h"
#include "gentianloom/budget/GrantManager.h"
#include "gentianloom/net/HttpHead.h"

#include <algorithm>

// The part of GrantManager that reads the shards and this instance's usage report, and keeps what
// was read.

namespace gentianloom {

namespace {

/// Common prefix of the keys of all shards.
constexpr std::string_view kShardPrefix = "/gentianloom/budget-shards/";

/// Returns the number of the shard that is stored under a key; unset if it is not a shard's key, as
/// one that only begins like it or writes the number in another way.
std::optional<int> ShardOfKey(std::string_view aKey)
{
  if (!aKey.starts_with(kShardPrefix)) {
    return std::nullopt;
  }
  const auto n = net::ParseNumber(aKey.substr(kShardPrefix.size()));
  if (!n || *n < 0 || *n >= kShards) {
    return std::nullopt;
  }
  const auto shard = static_cast<int>(*n);
  return aKey == ShardKey(shard) ? std::optional(shard) : std::nullopt;
}

} // namespace

bool GrantManager::IsUnreadable(const std::string& aBudget) const
{
  return mUnreadableShards.contains(ShardOf(aBudget));
}

/// Caches this instance's usage report. One that cannot be parsed is replaced by the next write:
/// what a predecessor held then counts as spent, since the shards' sums include it.
void GrantManager::CacheReport(const KeyValue& aEntry)
{
  auto report = ParseUsageReport(aEntry.mValue);
  mCachedReport.mRevision = aEntry.mModRevision;
  if (report) {
    mCachedReport.mReport = std::move(report.value());
    return;
  }
  const auto& known = mCachedReport.mReport;
  if (known && known->mIncarnation != mIdentity.mIncarnation) {
    mCachedReport.mReport.reset();
  }
  LogChange(LogLevel::Error,
            "budget",
            "the stored usage report cannot be parsed; it will be replaced",
            { { "key", aEntry.mKey }, { "error", ToString(report.error()) } });
}

/// Caches an entry that was read from the key-value service.
void GrantManager::CacheEntry(const KeyValue& aEntry)
{
  if (aEntry.mKey == UsageReportKey(mIdentity.mInstance)) {
    CacheReport(aEntry);
    return;
  }
  const auto shard = ShardOfKey(aEntry.mKey);
  if (!shard) {
    return;
  }
  auto record = ParseShard(aEntry.mValue);
  if (!record) {
    mCachedShards.erase(*shard);
    const bool isNew = mUnreadableShards.insert(*shard).second;
    if (isNew) {
      LogChange(LogLevel::Error,
                "budget",
                "a stored shard cannot be parsed; no tokens of its budgets are granted",
                { { "key", aEntry.mKey }, { "error", ToString(record.error()) } });
    }
    return;
  }
  mUnreadableShards.erase(*shard);
  mCachedShards[*shard] = { aEntry.mModRevision, std::move(record.value()) };
}

/// Reads all shards and this instance's usage report into the cache.
net::Task<bool> GrantManager::ReadAll()
{
  std::string shardPrefix(kShardPrefix);
  const auto shards = co_await mStore.Range(std::move(shardPrefix));
  if (!shards) {
    OnStoreResult(false, ToString(shards.error()));
    co_return false;
  }
  auto reportKey = UsageReportKey(mIdentity.mInstance);
  const auto reports = co_await mStore.Range(std::move(reportKey));
  if (!reports) {
    OnStoreResult(false, ToString(reports.error()));
    co_return false;
  }
  CheckEra();
  if (shards.value().mEra != mEra || reports.value().mEra != mEra) {
    co_return false; // the era changed between the two reads
  }
  mRefreshedAt = mClock.Now();
  mCachedShards.clear();
  mCachedReport = {};
  mUnreadableShards.clear();
  for (const auto& it : shards.value().mEntries) {
    CacheEntry(it);
  }
  for (const auto& it : reports.value().mEntries) {
    CacheEntry(it);
  }
  mIsCacheValid = true;
  co_return true;
}

ShardRecord GrantManager::MakeFullShard(int aShard) const
{
  const auto known = mCachedShards.find(aShard);
  auto out = known == mCachedShards.end() ? ShardRecord{} : known->second.mRecord;
  const auto& report = mCachedReport.mReport;
  if (!report) {
    return out;
  }
  const auto own = report->mShards.find(aShard);
  if (own != report->mShards.end()) {
    InsertHolder(out, report->mIncarnation, own->second);
  }
  return out;
}

/// Reads the shards, possibly a stale state, to update the unallocated tokens of budgets for which
/// this process has nothing to write. A process that holds nothing reads them as well: after the
/// service came back from an older copy, it may be the only one that knows what was drawn since.
net::Task<void> GrantManager::RefreshCache()
{
  const auto now = mClock.Now();
  if (now - mRefreshedAt < IdleInterval()) {
    co_return;
  }
  if (!mIsCacheValid && mLedger.Holdings().empty()) {
    mRefreshedAt = now;
    const bool isRead = co_await ReadAll();
    if (isRead) {
      OnStoreResult(true, "");
    }
    co_return;
  }
  if (mPacer.IsStoreUnavailable() || !mIsCacheValid) {
    co_return;
  }
  mRefreshedAt = now;
  std::string prefix(kShardPrefix);
  const auto range = co_await mStore.RangeStale(std::move(prefix));
  if (!range || range.value().mEra != mEra) {
    co_return; // an outage is detected by the next write
  }
  std::erase_if(mUnreadableShards,
                [&](int it) { return FindEntry(range.value().mEntries, ShardKey(it)) == nullptr; });
  for (const auto& it : range.value().mEntries) {
    const auto shard = ShardOfKey(it.mKey);
    if (!shard) {
      continue;
    }
    const auto known = mCachedShards.find(*shard);
    if (known != mCachedShards.end() && known->second.mRevision >= it.mModRevision) {
      continue;
    }
    CacheEntry(it);
    if (!mUnreadableShards.contains(*shard)) {
      mLedger.Reconcile(*shard, MakeFullShard(*shard));
    }
  }
}

/// Updates the cache from the entries that the store returned with a conflict.
void GrantManager::OnConflict(const std::vector<KeyValue>& aCurrent)
{
  mIsCacheValid = !aCurrent.empty();
  for (const auto& it : aCurrent) {
    CacheEntry(it);
  }
}

} // namespace gentianloom
