#include "gentianloom/configuration/ConfigurationStore.h"

#include "gentianloom/base/JsonFields.h"

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

constexpr Millis kPendingLifetime{ 3'600'000 }; ///< older unfinished applies count as abandoned
constexpr std::size_t kMaxDeletes = 100;        ///< in one transaction

using Keys = std::set<std::string>;

/// Adds the keys of a version's manifest and chunks.
Result<void> AddChunkKeys(KeyValueStore& aStore, const std::string& aDigest, Keys& aOut)
{
  const auto key = std::string(kChunkPrefix) + aDigest;
  BOOST_OUTCOME_TRY(answer, aStore.Range(key, false, Step::ApplicationStore));
  aOut.insert(key);
  if (answer.mEntries.empty()) {
    return success();
  }
  BOOST_OUTCOME_TRY(refs, ParseManifest(answer.mEntries.front().mValue));
  for (const auto& it : refs) {
    aOut.insert(std::string(kChunkPrefix) + it.mDigest);
  }
  return success();
}

/// Adds the pending records and chunks of applies that were abandoned before they finished.
Result<void> AddPendingKeys(KeyValueStore& aStore, Millis aWallTime, Keys& aOut)
{
  BOOST_OUTCOME_TRY(answer, aStore.Range(kPendingPrefix, true, Step::ApplicationStore));
  for (const auto& entry : answer.mEntries) {
    const auto json = Json::parse(entry.mValue, nullptr, false);
    const auto time = FindNumber(json, "timeMs");
    if (!time || Millis(*time) > aWallTime - kPendingLifetime) {
      continue;
    }
    aOut.insert(entry.mKey);
    for (const auto& it : FindList(json, "chunks")) {
      if (it.is_string()) {
        aOut.insert(std::string(kChunkPrefix) + it.get<std::string>());
      }
    }
  }
  return success();
}

} // namespace

Result<std::size_t> ConfigurationStore::Sweep(Millis aWallTime)
{
  BOOST_OUTCOME_TRY(head, ReadHead());
  BOOST_OUTCOME_TRY(history, ReadHistory());
  const auto expired = history.size() - std::min(history.size(), kKeptVersions);
  Keys unused;
  BOOST_OUTCOME_TRYV(AddPendingKeys(mStore, aWallTime, unused));
  Keys kept;
  for (std::size_t n = 0; n < history.size(); ++n) {
    if (n < expired) {
      unused.insert(MakeHistoryKey(history[n].mVersion));
    }
    if (expired > 0 || !unused.empty()) {
      BOOST_OUTCOME_TRYV(AddChunkKeys(mStore, history[n].mDigest, n < expired ? unused : kept));
    }
  }
  std::vector<std::string> deleted;
  std::set_difference(
    unused.begin(), unused.end(), kept.begin(), kept.end(), std::back_inserter(deleted));
  for (std::size_t at = 0; at < deleted.size(); at += kMaxDeletes) {
    Transaction transaction;
    transaction.mCompares = { { std::string(kHeadKey), head.mModRevision } };
    // The changed sweep record makes a concurrent apply fail its condition and write its chunks
    // again.
    transaction.mWrites = { { std::string(kSweepKey), std::to_string(aWallTime.count()) } };
    const auto end = std::min(deleted.size(), at + kMaxDeletes);
    for (std::size_t n = at; n < end; ++n) {
      transaction.mWrites.push_back({ deleted[n], "", 0, true });
    }
    const auto answer = mStore.Commit(transaction, Step::ApplicationStore);
    if (answer.mEffect != Effect::Applied) {
      return MakeError(
        ErrorCode::Conflict,
        Step::ApplicationStore,
        "key-value service",
        "another version was applied meanwhile; old versions will be deleted by a later sweep");
    }
  }
  return deleted.size();
}

} // namespace gentianloom
