#include "gentianloom/configuration/ConfigurationStore.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::string_view kPeer = "key-value service";

/// Limits of one transaction of the key-value service.
constexpr std::size_t kMostWrites = 100;
constexpr std::size_t kMostWriteBytes = 900 * 1024;

/// More lacking chunks than this are read by ranges over the first digit of their digests.
constexpr std::size_t kMostSingleReads = 16;

constexpr int kCommitTries = 3;
constexpr int kApplyTries = 3;

std::string ChunkKey(std::string_view aDigest)
{
  return std::string(kChunkPrefix) + std::string(aDigest);
}

Error LackingError(const std::string& aDigest)
{
  return MakeError(ErrorCode::StaleAnswer,
                   Step::ApplicationSpread,
                   kPeer,
                   "the chunk " + aDigest + " is not there yet; reading again");
}

/// Takes a chunk into a set if it is what its key names.
void TakeChunk(ChunkSet& aOut, std::string_view aDigest, const std::string& aText)
{
  if (MatchesDigest(aText, aDigest)) {
    aOut.mTexts.emplace(aDigest, std::make_shared<const std::string>(aText));
  }
}

} // namespace

/// One try to apply: what was read, and what is to be written.
struct ConfigurationStore::Attempt
{
  ConfigurationHead mPresent;
  Revision mSweepRevision = 0;
  ConfigurationHead mWanted;
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
                     kPeer,
                     "version " + std::to_string(aVersion) + " is not kept; the last " +
                       std::to_string(kKeptVersions) + " are, see `gentianloom history`");
  }
  return ParseHead(answer.mEntries.front().mValue);
}

Result<Revision> ConfigurationStore::ReadRevision(std::string_view aKey)
{
  BOOST_OUTCOME_TRY(answer, mStore.Range(aKey, false, Step::ApplicationStore));
  return answer.mEntries.empty() ? Revision{ 0 } : answer.mEntries.front().mModRevision;
}

Result<ChunkSet> ConfigurationStore::ReadChunks(const std::string& aDigest, const ChunkSet* aHave)
{
  ChunkSet out;
  out.mDigest = aDigest;
  BOOST_OUTCOME_TRY(manifest, mStore.Range(ChunkKey(aDigest), false, Step::ApplicationSpread));
  if (manifest.mEntries.empty()) {
    return LackingError(aDigest);
  }
  TakeChunk(out, aDigest, manifest.mEntries.front().mValue);
  BOOST_OUTCOME_TRY(refs, ParseManifest(manifest.mEntries.front().mValue));
  out.mManifest = std::move(refs);
  if (aHave != nullptr) {
    for (const auto& it : out.mManifest) {
      const auto text = aHave->mTexts.find(it.mDigest);
      if (text != aHave->mTexts.end()) {
        out.mTexts.insert(*text);
      }
    }
  }
  auto lacking = FindMissingDigests(out.mManifest, out);
  std::vector<std::string> prefixes;
  constexpr std::size_t kFirstDigitEnd = 8; // "sha256:" and one digit
  for (const auto& it : lacking) {
    const auto prefix = lacking.size() > kMostSingleReads ? it.substr(0, kFirstDigitEnd) : it;
    if (prefixes.empty() || prefixes.back() != prefix) {
      prefixes.push_back(prefix);
    }
  }
  for (const auto& prefix : prefixes) {
    BOOST_OUTCOME_TRY(answer, mStore.Range(ChunkKey(prefix), true, Step::ApplicationSpread));
    for (const auto& it : answer.mEntries) {
      const auto digest = it.mKey.substr(kChunkPrefix.size());
      if (std::binary_search(lacking.begin(), lacking.end(), digest)) {
        TakeChunk(out, digest, it.mValue);
      }
    }
  }
  lacking = FindMissingDigests(out.mManifest, out);
  if (!lacking.empty()) {
    return LackingError(lacking.front());
  }
  return out;
}

Result<AcceptedConfigurationPtr> ConfigurationStore::ReadConfiguration(
  const ConfigurationHead& aHead,
  const AcceptedConfigurationPtr& aHave)
{
  if (aHead.mVersion == 0) {
    return AcceptedConfigurationPtr();
  }
  const auto* have = aHave ? aHave->Chunks().get() : nullptr;
  BOOST_OUTCOME_TRY(chunks, ReadChunks(aHead.mDigest, have));
  return MakeAcceptedConfiguration(aHead.mVersion, std::move(chunks), aHave);
}

Result<void> ConfigurationStore::WriteChunks(const ChunkSet& aChunks, const Attempt& aAttempt)
{
  Transaction transaction;
  const Json pending = { { "timeMs", aAttempt.mWanted.mWallTime.count() },
                         { "chunks", aAttempt.mNewDigests } };
  transaction.mWrites.push_back(
    { std::string(kPendingPrefix) + aAttempt.mWanted.mApplyId, pending.dump() });
  std::size_t bytes = transaction.mWrites.front().mValue.size();
  const auto flush = [&]() -> Result<void> {
    CommitAnswer answer;
    // Chunks are immutable, so writing one again is harmless.
    for (int n = 0; n < kCommitTries && answer.mEffect != Effect::TookEffect; ++n) {
      answer = mStore.Commit(transaction, Step::ApplicationStore);
    }
    transaction.mWrites.clear();
    bytes = 0;
    if (answer.mEffect != Effect::TookEffect) {
      return MakeError(ErrorCode::PlatformUnavailable,
                       Step::ApplicationStore,
                       kPeer,
                       "the configuration could not be stored, nothing was changed: " +
                         answer.mError.mText + "; apply it again later");
    }
    return success();
  };
  for (const auto& it : aAttempt.mNewDigests) {
    const auto& text = *aChunks.mTexts.find(it)->second;
    const bool full =
      transaction.mWrites.size() >= kMostWrites || bytes + text.size() > kMostWriteBytes;
    if (full && !transaction.mWrites.empty()) {
      BOOST_OUTCOME_TRYV(flush());
    }
    transaction.mWrites.push_back({ ChunkKey(it), text });
    bytes += text.size();
  }
  return flush();
}

Result<ApplyResult> ConfigurationStore::Apply(const Configuration& aConfiguration,
                                              const ApplyRequest& aRequest)
{
  BOOST_OUTCOME_TRY(chunks, SplitConfiguration(aConfiguration));
  for (int n = 0; n < kApplyTries; ++n) {
    Attempt attempt;
    BOOST_OUTCOME_TRY(sweep, ReadRevision(kSweepKey));
    attempt.mSweepRevision = sweep;
    BOOST_OUTCOME_TRY(present, ReadHead());
    attempt.mPresent = present;
    const auto inForce = std::max(present.mVersion, aRequest.mHighestKnown);
    BOOST_OUTCOME_TRY(done, FindByApplyId(aRequest.mApplyId));
    if (done) {
      return ApplyResult{ *done, true };
    }
    if (present.mDigest == chunks.mDigest && present.mVersion == inForce) {
      BOOST_OUTCOME_TRY(newest, IsNewest(present));
      if (newest) {
        return ApplyResult{ present, false };
      }
      continue;
    }
    if (aRequest.mBaseVersion && *aRequest.mBaseVersion != inForce) {
      return ConflictError(present, *aRequest.mBaseVersion);
    }
    attempt.mWanted = { inForce + 1,        inForce,          chunks.mDigest,    aRequest.mApplyId,
                        aRequest.mOperator, aRequest.mAction, aRequest.mWallTime };
    if (aRequest.mExtraWrites) {
      attempt.mExtraWrites = aRequest.mExtraWrites(attempt.mWanted);
    }
    ChunkSet stored;
    if (present.mVersion > 0) {
      BOOST_OUTCOME_TRY(manifest,
                        mStore.Range(ChunkKey(present.mDigest), false, Step::ApplicationStore));
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
  return MakeError(
    ErrorCode::Conflict,
    Step::ApplicationCommit,
    kPeer,
    "the service's answers were old, or old versions were being deleted, at each try; "
    "nothing was changed, apply again");
}

Result<bool> ConfigurationStore::IsNewest(const ConfigurationHead& aHead)
{
  const Transaction transaction{ { { std::string(kHeadKey), aHead.mModRevision } }, {} };
  const auto answer = mStore.Commit(transaction, Step::ApplicationCommit);
  if (answer.mEffect != Effect::TookEffect && !answer.mConflict) {
    return MakeError(ErrorCode::PlatformUnavailable,
                     Step::ApplicationCommit,
                     kPeer,
                     "whether the file is in force already could not be read; nothing was changed, "
                     "apply it again later");
  }
  return !answer.mConflict;
}

Result<ApplyResult> ConfigurationStore::CommitHead(const Attempt& aAttempt)
{
  const auto& wanted = aAttempt.mWanted;
  const auto text = SerializeHead(wanted);
  Transaction transaction;
  transaction.mCompares = { { std::string(kHeadKey), aAttempt.mPresent.mModRevision },
                            { std::string(kSweepKey), aAttempt.mSweepRevision } };
  transaction.mWrites = { { std::string(kHeadKey), text },
                          { MakeHistoryKey(wanted.mVersion), text },
                          { std::string(kPendingPrefix) + wanted.mApplyId, "", 0, true } };
  transaction.mWrites.insert(
    transaction.mWrites.end(), aAttempt.mExtraWrites.begin(), aAttempt.mExtraWrites.end());
  bool unknown = false;
  CommitAnswer answer;
  // The head's revision is a condition, so that a repeated transaction takes effect at most once.
  for (int n = 0; n < kCommitTries; ++n) {
    answer = mStore.Commit(transaction, Step::ApplicationCommit);
    if (answer.mEffect == Effect::TookEffect) {
      auto head = wanted;
      head.mModRevision = answer.mRevision;
      return ApplyResult{ std::move(head), true };
    }
    if (answer.mConflict) {
      return ResolveConflict(aAttempt);
    }
    unknown = unknown || answer.mEffect == Effect::Unknown;
  }
  if (!unknown) {
    return answer.mError;
  }
  return MakeError(ErrorCode::PlatformAnswerLost,
                   Step::ApplicationCommit,
                   kPeer,
                   "the answer was lost and could not be read back; ask again with `gentianloom "
                   "application " +
                     wanted.mApplyId + "`, or apply the same file again, which is safe");
}

Result<ApplyResult> ConfigurationStore::ResolveConflict(const Attempt& aAttempt)
{
  const auto lost = [&aAttempt](const Error& aError) {
    return MakeError(ErrorCode::PlatformAnswerLost,
                     Step::ApplicationCommit,
                     kPeer,
                     "the outcome could not be read back (" + aError.mText +
                       "); ask again with `gentianloom application " + aAttempt.mWanted.mApplyId +
                       "`");
  };
  auto done = FindByApplyId(aAttempt.mWanted.mApplyId);
  if (!done) {
    return lost(done.error());
  }
  if (done.value()) {
    return ApplyResult{ *done.value(), true };
  }
  // What was read may be stale. A condition never is: whoever took this version left a record.
  const auto key = MakeHistoryKey(aAttempt.mWanted.mVersion);
  const auto absent = mStore.Commit({ { { key, 0 } }, {} }, Step::ApplicationCommit);
  if (absent.mEffect != Effect::TookEffect) {
    auto taken = ReadVersion(aAttempt.mWanted.mVersion);
    if (!absent.mConflict || !taken) {
      return lost(absent.mConflict ? taken.error() : absent.mError);
    }
    if (taken.value().mApplyId == aAttempt.mWanted.mApplyId) {
      return ApplyResult{ taken.value(), true };
    }
    return ConflictError(taken.value(), aAttempt.mWanted.mParent);
  }
  auto head = ReadHead();
  if (!head) {
    return lost(head.error());
  }
  if (head.value().mModRevision == aAttempt.mPresent.mModRevision) {
    return MakeError(ErrorCode::StaleAnswer,
                     Step::ApplicationCommit,
                     kPeer,
                     "old versions were deleted meanwhile");
  }
  return ConflictError(head.value(), aAttempt.mWanted.mParent);
}

Error ConfigurationStore::ConflictError(const ConfigurationHead& aWinner, std::int64_t aBase)
{
  std::string text = "operator \"" + aWinner.mOperator + "\" applied version " +
                     std::to_string(aWinner.mVersion) + " at " + FormatTime(aWinner.mWallTime) +
                     ", and this order builds on version " + std::to_string(aBase);
  return MakeError(ErrorCode::Conflict,
                   Step::ApplicationCommit,
                   kPeer,
                   text + "; nothing was changed, look at `gentianloom diff " +
                     std::to_string(aBase) + " " + std::to_string(aWinner.mVersion) +
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
