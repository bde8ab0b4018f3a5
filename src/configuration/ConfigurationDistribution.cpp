#include "gentianloom/configuration/ConfigurationDistribution.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::size_t kChildren = 8; ///< routers that ask the same parent
constexpr Millis kLevelDelay{ 400 }; ///< time in which one level of the tree fetches a version
constexpr int kMaxRounds = 256;      ///< calls to one peer for one version

/// A router in the order that places it in the distribution tree.
struct RankedRouter
{
  std::uint64_t mHash;
  std::string_view mName;
  std::string_view mAddress;

  bool operator<(const RankedRouter& aOther) const
  {
    return std::tie(mHash, mName) < std::tie(aOther.mHash, aOther.mName);
  }
};

RankedRouter MakeRankedRouter(std::string_view aName,
                              std::string_view aAddress,
                              std::int64_t aVersion)
{
  return { StableHash(aName, static_cast<std::uint64_t>(aVersion)), aName, aAddress };
}

Error MakeStaleAnswerError(const std::string& aAddress, std::string aText)
{
  return MakeError(ErrorCode::StaleAnswer, Step::ApplicationSpread, aAddress, std::move(aText));
}

/// Adds the chunks of an answer whose content matches their digest. @return the number of new ones
std::size_t AddValidChunks(const wire::ConfigurationAnswer& aAnswer, ChunkSet& aOut)
{
  std::size_t n = 0;
  for (const auto& it : aAnswer.chunks) {
    if (MatchesDigest(it.content, it.digest) && !aOut.mTexts.contains(it.digest)) {
      aOut.mTexts.emplace(it.digest, std::make_shared<const std::string>(it.content));
      ++n;
    }
  }
  return n;
}

/// Parses the manifest, if it was received, and adds the chunks in common with an earlier version.
/// @return whether no chunk is missing
Result<bool> TryComplete(ChunkSet& aOut, const ChunkSet* aPrevious)
{
  const auto text = aOut.mTexts.find(aOut.mDigest);
  if (text == aOut.mTexts.end()) {
    return false;
  }
  BOOST_OUTCOME_TRY(refs, ParseManifest(*text->second));
  aOut.mManifest = std::move(refs);
  if (aPrevious != nullptr) {
    for (const auto& it : aOut.mManifest) {
      const auto shared = aPrevious->mTexts.find(it.mDigest);
      if (shared != aPrevious->mTexts.end()) {
        aOut.mTexts.insert(*shared);
      }
    }
  }
  return FindMissingDigests(aOut.mManifest, aOut).empty();
}

/// Removes the chunks that the manifest does not refer to.
void DropUnlisted(ChunkSet& aSet)
{
  std::map<std::string, ChunkText, std::less<>> kept;
  kept.insert(*aSet.mTexts.find(aSet.mDigest));
  for (const auto& it : aSet.mManifest) {
    kept.insert(*aSet.mTexts.find(it.mDigest));
  }
  aSet.mTexts = std::move(kept);
}

std::vector<std::string> ListDigests(const ChunkSet& aSet)
{
  std::vector<std::string> out;
  for (const auto& it : aSet.mTexts) {
    out.push_back(it.first);
  }
  return out;
}

} // namespace

FetchPlan PlanFetch(std::string_view aSelf,
                    std::int64_t aVersion,
                    std::span<const PeerSettings> aMembers)
{
  const auto self = MakeRankedRouter(aSelf, {}, aVersion);
  std::vector<RankedRouter> lowerRanked;
  for (const auto& it : aMembers) {
    const auto ranked = MakeRankedRouter(it.mName, it.mAddress, aVersion);
    if (it.mName != aSelf && ranked < self) {
      lowerRanked.push_back(ranked);
    }
  }
  if (lowerRanked.size() < kDirectReaders) {
    return {};
  }
  std::sort(lowerRanked.begin(), lowerRanked.end());
  FetchPlan plan;
  plan.mReadsFromStore = false;
  plan.mParent = lowerRanked[lowerRanked.size() / kChildren - 1].mAddress;
  for (auto n = lowerRanked.size(); n >= kDirectReaders; n /= kChildren) {
    plan.mDelay += kLevelDelay;
  }
  return plan;
}

Result<ConfigurationSnapshot> FetchFromPeer(const FetchFunction& aCall,
                                            const std::string& aAddress,
                                            const ConfigurationSnapshot& aCurrent,
                                            std::int64_t aMinVersion)
{
  const auto* previous = aCurrent.mAccepted ? aCurrent.mAccepted->Chunks().get() : nullptr;
  wire::ConfigurationRequest request;
  request.haveVersion = aCurrent.mHead.mVersion;
  ConfigurationSnapshot out;
  ChunkSet chunks;
  for (int n = 0; n < kMaxRounds; ++n) {
    BOOST_OUTCOME_TRY(answer, aCall(aAddress, request));
    if (answer.version < aMinVersion) {
      return MakeStaleAnswerError(aAddress,
                                  "the peer has only version " + std::to_string(answer.version));
    }
    BOOST_OUTCOME_TRY(head, ParseHead(answer.head));
    if (head.mDigest != chunks.mDigest) {
      chunks.mDigest = head.mDigest;
    }
    out.mHead = head;
    const auto added = AddValidChunks(answer, chunks);
    BOOST_OUTCOME_TRY(isComplete, TryComplete(chunks, previous));
    if (isComplete) {
      DropUnlisted(chunks);
      BOOST_OUTCOME_TRY(
        accepted, MakeAcceptedConfiguration(head.mVersion, std::move(chunks), aCurrent.mAccepted));
      out.mAccepted = std::move(accepted);
      return out;
    }
    if (added == 0 && request.haveVersion == 0) {
      return MakeStaleAnswerError(aAddress, "the answer of the peer lacks chunks");
    }
    if (added == 0) {
      // The peer knows other content under this version number; list the chunks instead.
      request.haveVersion = 0;
    }
    request.haveChunks = ListDigests(chunks);
    if (request.haveVersion == 0 && previous != nullptr) {
      const auto available = ListDigests(*previous);
      request.haveChunks.insert(request.haveChunks.end(), available.begin(), available.end());
    }
  }
  return MakeStaleAnswerError(
    aAddress, "the answer of the peer is still incomplete after the maximum number of calls");
}

void ConfigurationProvider::Publish(const ConfigurationSnapshot& aSnapshot)
{
  auto digests = std::make_shared<Digests>();
  for (const auto& it : aSnapshot.mAccepted->Chunks()->mTexts) {
    digests->insert(it.first);
  }
  const std::lock_guard lock(mMutex);
  mSnapshot = aSnapshot;
  mRememberedDigests.emplace_back(aSnapshot.mHead.mVersion, std::move(digests));
  if (mRememberedDigests.size() > kRememberedVersions) {
    mRememberedDigests.pop_front();
  }
}

wire::ConfigurationAnswer ConfigurationProvider::Answer(
  const wire::ConfigurationRequest& aRequest) const
{
  ConfigurationSnapshot snapshot;
  std::shared_ptr<const Digests> knownDigests;
  {
    const std::lock_guard lock(mMutex);
    snapshot = mSnapshot;
    for (const auto& it : mRememberedDigests) {
      knownDigests = it.first == aRequest.haveVersion ? it.second : knownDigests;
    }
  }
  wire::ConfigurationAnswer out;
  out.version = snapshot.mHead.mVersion;
  out.head = SerializeHead(snapshot.mHead);
  if (!snapshot.mAccepted || snapshot.mHead.mVersion <= aRequest.haveVersion) {
    return out;
  }
  const Digests listedDigests(aRequest.haveChunks.begin(), aRequest.haveChunks.end());
  std::size_t bytes = 0;
  for (const auto& [digest, text] : snapshot.mAccepted->Chunks()->mTexts) {
    if (listedDigests.contains(digest) || (knownDigests && knownDigests->contains(digest))) {
      continue;
    }
    if (bytes > 0 && bytes + text->size() > kMaxAnswerBytes) {
      break;
    }
    bytes += text->size();
    wire::ConfigurationChunk chunk;
    chunk.digest = digest;
    chunk.content = *text;
    out.chunks.push_back(std::move(chunk));
  }
  return out;
}

} // namespace gentianloom
