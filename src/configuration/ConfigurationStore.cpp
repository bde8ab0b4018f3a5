#include "gentianloom/configuration/ConfigurationStore.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::string_view kService = "key-value service";

/// Limits for one transaction of the key-value service.
constexpr std::size_t kMaxWrites = 100;
constexpr std::size_t kMaxWriteBytes = 900 * 1024;

/// If more chunks than this are missing, they are read by ranges over the first digit of their
/// digests.
constexpr std::size_t kMaxSingleReads = 16;

constexpr int kMaxCommitAttempts = 3;
constexpr int kMaxApplyAttempts = 3;

std::string MakeChunkKey(std::string_view aDigest)
{
  return std::string(kChunkPrefix) + std::string(aDigest);
}

Error MakeMissingChunkError(const std::string& aDigest)
{
  return MakeError(ErrorCode::StaleAnswer,
                   Step::ApplicationSpread,
                   kService,
                   "the chunk " + aDigest + " is not available yet; it will be read again");
}

/// Adds a chunk to a set if its content matches its digest.
void AddChunkIfValid(ChunkSet& aOut, std::string_view aDigest, const std::string& aText)
{
  if (MatchesDigest(aText, aDigest)) {
    aOut.mTexts.emplace(aDigest, std::make_shared<const std::string>(aText));
  }
}

} // namespace

/// One attempt to apply: the state that was read, and the records to write.
struct ConfigurationStore::Attempt
{
  ConfigurationHead mCurrentHead;
  Revision mSweepRevision = 0;
  ConfigurationHead mNewHead;
  std::vector<std::string> mNewDigests;
  std::vector<Write> mExtraWrites;
};

Result<ConfigurationHead> ConfigurationStore::ReadHead()
{
  BOOST_OUTCOME_TRY(answer, mStore.Range(kHeadKey, false, Step::ApplicationSpread));
  ConfigurationHead head;
  if (!answer.mEntries.empty()) {
    BOOST_OUTCOME_TRY(stored, ParseHead(answer.mEntries.front().mValue));
    head = std::move(stored);
    head.mModRevision = answer.mEntries.front().mModRevision;
  }
  head.mStoreRevision = answer.mRevision;
  return head;
}

Result<std::vector<ConfigurationHead>> ConfigurationStore::ReadHistory()
{
  BOOST_OUTCOME_TRY(answer, mStore.Range(kHistoryPrefix, true, Step::ApplicationSpread));
  std::vector<ConfigurationHead> out;
  for (const auto& it : answer.mEntries) {
    BOOST_OUTCOME_TRY(head, ParseHead(it.mValue));
    head.mModRevision = it.mModRevision;
    out.push_back(std::move(head));
  }
  return out;
}

Result<ConfigurationHead> ConfigurationStore::ReadVersion(std::int64_t aVersion)
{
  BOOST_OUTCOME_TRY(answer, mStore.Range(MakeHistoryKey(aVersion), false, Step::ApplicationSpread));
  if (answer.mEntries.empty()) {
    return MakeError(ErrorCode::OutOfRange,
                     Step::ApplicationCheck,
                     kService,
                     "version " + std::to_string(aVersion) + " is not kept; the last " +
                       std::to_string(kKeptVersions) + " versions are, see `gentianloom history`");
  }
  return ParseHead(answer.mEntries.front().mValue);
}

Result<Revision> ConfigurationStore::ReadRevision(std::string_view aKey)
{
  BOOST_OUTCOME_TRY(answer, mStore.Range(aKey, false, Step::ApplicationStore));
  return answer.mEntries.empty() ? Revision{ 0 } : answer.mEntries.front().mModRevision;
}

Result<ChunkSet> ConfigurationStore::ReadChunks(const std::string& aDigest, const ChunkSet* aCached)
{
  ChunkSet out;
  out.mDigest = aDigest;
  BOOST_OUTCOME_TRY(manifest, mStore.Range(MakeChunkKey(aDigest), false, Step::ApplicationSpread));
  if (manifest.mEntries.empty()) {
    return MakeMissingChunkError(aDigest);
  }
  AddChunkIfValid(out, aDigest, manifest.mEntries.front().mValue);
  BOOST_OUTCOME_TRY(refs, ParseManifest(manifest.mEntries.front().mValue));
  out.mManifest = std::move(refs);
  if (aCached != nullptr) {
    for (const auto& it : out.mManifest) {
      const auto text = aCached->mTexts.find(it.mDigest);
      if (text != aCached->mTexts.end()) {
        out.mTexts.insert(*text);
      }
    }
  }
  auto missing = FindMissingDigests(out.mManifest, out);
  std::vector<std::string> prefixes;
  constexpr std::size_t kFirstDigitEnd = 8; // "sha256:" and one digit
  for (const auto& it : missing) {
    const auto prefix = missing.size() > kMaxSingleReads ? it.substr(0, kFirstDigitEnd) : it;
    if (prefixes.empty() || prefixes.back() != prefix) {
      prefixes.push_back(prefix);
    }
  }
  for (const auto& prefix : prefixes) {
    BOOST_OUTCOME_TRY(answer, mStore.Range(MakeChunkKey(prefix), true, Step::ApplicationSpread));
    for (const auto& it : answer.mEntries) {
      const auto digest = it.mKey.substr(kChunkPrefix.size());
      if (std::binary_search(missing.begin(), missing.end(), digest)) {
        AddChunkIfValid(out, digest, it.mValue);
      }
    }
  }
  missing = FindMissingDigests(out.mManifest, out);
  if (!missing.empty()) {
    return MakeMissingChunkError(missing.front());
  }
  return out;
}

Result<AcceptedConfigurationPtr> ConfigurationStore::ReadConfiguration(
  const ConfigurationHead& aHead,
  const AcceptedConfigurationPtr& aPrevious)
{
  if (aHead.mVersion == 0) {
    return AcceptedConfigurationPtr();
  }
  const auto* cached = aPrevious ? aPrevious->Chunks().get() : nullptr;
  BOOST_OUTCOME_TRY(chunks, ReadChunks(aHead.mDigest, cached));
  return MakeAcceptedConfiguration(aHead.mVersion, std::move(chunks), aPrevious);
}

Result<void> ConfigurationStore::WriteChunks(const ChunkSet& aChunks, const Attempt& aAttempt)
{
  Transaction transaction;
  const Json pending = { { "timeMs", aAttempt.mNewHead.mWallTime.count() },
                         { "chunks", aAttempt.mNewDigests } };
  transaction.mWrites.push_back(
    { std::string(kPendingPrefix) + aAttempt.mNewHead.mApplyId, pending.dump() });
  std::size_t bytes = transaction.mWrites.front().mValue.size();
  const auto flush = [&]() -> Result<void> {
    CommitResult answer;
    // Chunks are immutable, so writing one again has no effect.
    for (int n = 0; n < kMaxCommitAttempts && answer.mEffect != Effect::Applied; ++n) {
      answer = mStore.Commit(transaction, Step::ApplicationStore);
    }
    transaction.mWrites.clear();
    bytes = 0;
    if (answer.mEffect != Effect::Applied) {
      return MakeError(ErrorCode::PlatformUnavailable,
                       Step::ApplicationStore,
                       kService,
                       "the configuration could not be stored and nothing was changed: " +
                         answer.mError.mText + "; apply it again later");
    }
    return success();
  };
  for (const auto& it : aAttempt.mNewDigests) {
    const auto& text = *aChunks.mTexts.find(it)->second;
    const bool isFull =
      transaction.mWrites.size() >= kMaxWrites || bytes + text.size() > kMaxWriteBytes;
    if (isFull && !transaction.mWrites.empty()) {
      BOOST_OUTCOME_TRYV(flush());
    }
    transaction.mWrites.push_back({ MakeChunkKey(it), text });
    bytes += text.size();
  }
  return flush();
}

Result<ApplyResult> ConfigurationStore::Apply(const Configuration& aConfiguration,
                                              const ApplyRequest& aRequest)
{
  BOOST_OUTCOME_TRY(chunks, SplitConfiguration(aConfiguration));
  for (int n = 0; n < kMaxApplyAttempts; ++n) {
    Attempt attempt;
    BOOST_OUTCOME_TRY(sweep, ReadRevision(kSweepKey));
    attempt.mSweepRevision = sweep;
    BOOST_OUTCOME_TRY(current, ReadHead());
    attempt.mCurrentHead = current;
    const auto inForce = std::max(current.mVersion, aRequest.mHighestKnown);
    BOOST_OUTCOME_TRY(applied, FindByApplyId(aRequest.mApplyId));
    if (applied) {
      return ApplyResult{ *applied, true };
    }
    if (current.mDigest == chunks.mDigest && current.mVersion == inForce) {
      BOOST_OUTCOME_TRY(isNewest, IsNewest(current));
      if (isNewest) {
        return ApplyResult{ current, false };
      }
      continue;
    }
    if (aRequest.mBaseVersion && *aRequest.mBaseVersion != inForce) {
      return MakeConflictError(current, *aRequest.mBaseVersion);
    }
    attempt.mNewHead = { inForce + 1,        inForce,          chunks.mDigest,    aRequest.mApplyId,
                         aRequest.mOperator, aRequest.mAction, aRequest.mWallTime };
    if (aRequest.mExtraWrites) {
      attempt.mExtraWrites = aRequest.mExtraWrites(attempt.mNewHead);
    }
    ChunkSet stored;
    if (current.mVersion > 0) {
      BOOST_OUTCOME_TRY(manifest,
                        mStore.Range(MakeChunkKey(current.mDigest), false, Step::ApplicationStore));
      if (!manifest.mEntries.empty()) {
        BOOST_OUTCOME_TRY(refs, ParseManifest(manifest.mEntries.front().mValue));
        for (const auto& it : refs) {
          stored.mTexts.emplace(it.mDigest, nullptr);
        }
      }
    }
    attempt.mNewDigests = FindMissingDigests(chunks.mManifest, stored);
    attempt.mNewDigests.push_back(chunks.mDigest);
    BOOST_OUTCOME_TRYV(WriteChunks(chunks, attempt));
    auto answer = CommitHead(attempt);
    if (answer || answer.error().mCode != ErrorCode::StaleAnswer) {
      return answer;
    }
  }
  return MakeError(ErrorCode::Conflict,
                   Step::ApplicationCommit,
                   kService,
                   "each attempt read stale data or met a concurrent sweep of old versions; "
                   "nothing was changed, apply again");
}

Result<bool> ConfigurationStore::IsNewest(const ConfigurationHead& aHead)
{
  const Transaction transaction{ { { std::string(kHeadKey), aHead.mModRevision } }, {} };
  const auto answer = mStore.Commit(transaction, Step::ApplicationCommit);
  if (answer.mEffect != Effect::Applied && !answer.mIsConflict) {
    return MakeError(
      ErrorCode::PlatformUnavailable,
      Step::ApplicationCommit,
      kService,
      "could not determine whether the file is in force already; nothing was changed, "
      "apply it again later");
  }
  return !answer.mIsConflict;
}

Result<ApplyResult> ConfigurationStore::CommitHead(const Attempt& aAttempt)
{
  const auto& newHead = aAttempt.mNewHead;
  const auto text = SerializeHead(newHead);
  Transaction transaction;
  transaction.mCompares = { { std::string(kHeadKey), aAttempt.mCurrentHead.mModRevision },
                            { std::string(kSweepKey), aAttempt.mSweepRevision } };
  transaction.mWrites = { { std::string(kHeadKey), text },
                          { MakeHistoryKey(newHead.mVersion), text },
                          { std::string(kPendingPrefix) + newHead.mApplyId, "", 0, true } };
  transaction.mWrites.insert(
    transaction.mWrites.end(), aAttempt.mExtraWrites.begin(), aAttempt.mExtraWrites.end());
  bool isUnknown = false;
  CommitResult answer;
  // The head's revision is a condition, so a repeated transaction takes effect at most once.
  for (int n = 0; n < kMaxCommitAttempts; ++n) {
    answer = mStore.Commit(transaction, Step::ApplicationCommit);
    if (answer.mEffect == Effect::Applied) {
      auto head = newHead;
      head.mModRevision = answer.mRevision;
      return ApplyResult{ std::move(head), true };
    }
    if (answer.mIsConflict) {
      return ResolveConflict(aAttempt);
    }
    isUnknown = isUnknown || answer.mEffect == Effect::Unknown;
  }
  if (!isUnknown) {
    return answer.mError;
  }
  return MakeError(ErrorCode::PlatformAnswerLost,
                   Step::ApplicationCommit,
                   kService,
                   "the response was lost and the outcome is unknown; look it up with `gentianloom "
                   "application " +
                     newHead.mApplyId + "`, or apply the same file again, which is idempotent");
}

Result<ApplyResult> ConfigurationStore::ResolveConflict(const Attempt& aAttempt)
{
  const auto makeLostError = [&aAttempt](const Error& aError) {
    return MakeError(ErrorCode::PlatformAnswerLost,
                     Step::ApplicationCommit,
                     kService,
                     "the outcome could not be read back (" + aError.mText +
                       "); look it up with `gentianloom application " + aAttempt.mNewHead.mApplyId +
                       "`");
  };
  auto applied = FindByApplyId(aAttempt.mNewHead.mApplyId);
  if (!applied) {
    return makeLostError(applied.error());
  }
  if (applied.value()) {
    return ApplyResult{ *applied.value(), true };
  }
  // The history that was read may be stale, but a transaction's condition never is: the apply that
  // used this version number wrote its history record.
  const auto key = MakeHistoryKey(aAttempt.mNewHead.mVersion);
  const auto absence = mStore.Commit({ { { key, 0 } }, {} }, Step::ApplicationCommit);
  if (absence.mEffect != Effect::Applied) {
    auto winner = ReadVersion(aAttempt.mNewHead.mVersion);
    if (!absence.mIsConflict || !winner) {
      return makeLostError(absence.mIsConflict ? winner.error() : absence.mError);
    }
    if (winner.value().mApplyId == aAttempt.mNewHead.mApplyId) {
      return ApplyResult{ winner.value(), true };
    }
    return MakeConflictError(winner.value(), aAttempt.mNewHead.mParent);
  }
  auto head = ReadHead();
  if (!head) {
    return makeLostError(head.error());
  }
  if (head.value().mModRevision == aAttempt.mCurrentHead.mModRevision) {
    return MakeError(ErrorCode::StaleAnswer,
                     Step::ApplicationCommit,
                     kService,
                     "old versions were deleted concurrently");
  }
  return MakeConflictError(head.value(), aAttempt.mNewHead.mParent);
}

Error ConfigurationStore::MakeConflictError(const ConfigurationHead& aWinner,
                                            std::int64_t aBaseVersion)
{
  std::string text = "operator \"" + aWinner.mOperator + "\" applied version " +
                     std::to_string(aWinner.mVersion) + " at " + FormatTime(aWinner.mWallTime) +
                     ", but this request is based on version " + std::to_string(aBaseVersion);
  return MakeError(ErrorCode::Conflict,
                   Step::ApplicationCommit,
                   kService,
                   text + "; nothing was changed, see `gentianloom diff " +
                     std::to_string(aBaseVersion) + " " + std::to_string(aWinner.mVersion) +
                     "` and apply again");
}

Result<std::optional<ConfigurationHead>> ConfigurationStore::FindByApplyId(
  std::string_view aApplyId)
{
  std::optional<ConfigurationHead> out;
  BOOST_OUTCOME_TRY(history, ReadHistory());
  for (const auto& it : history) {
    if (it.mApplyId == aApplyId) {
      out = it;
    }
  }
  return out;
}

} // namespace gentianloom
