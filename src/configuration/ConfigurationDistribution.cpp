#include "gentianloom/configuration/ConfigurationDistribution.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::size_t kChildren = 8;
constexpr Millis kLevelDelay{ 400 };
constexpr int kMostRounds = 256;

struct Rank
{
  std::uint64_t mHash;
  std::string_view mName;
  std::string_view mAddress;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(mHash, mName) < std::tie(aOther.mHash, aOther.mName);
  }
};

Rank RankOf(std::string_view aName, std::string_view aAddress, std::int64_t aVersion)
{
  return { StableHash(aName, static_cast<std::uint64_t>(aVersion)), aName, aAddress };
}

Error Useless(const std::string& aAddress, std::string aText)
{
  return MakeError(ErrorCode::StaleAnswer, Step::ApplicationSpread, aAddress, std::move(aText));
}

/// Takes the chunks of an answer that are what their digests name. @return how many were new
std::size_t TakeChunks(const wire::ConfigurationAnswer& aAnswer, ChunkSet& aOut)
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

/// Reads the manifest, if it is there, and adds chunks that an earlier version shares.
Result<bool> Complete(ChunkSet& aOut, const ChunkSet* aHave)
{
  const auto text = aOut.mTexts.find(aOut.mDigest);
  if (text == aOut.mTexts.end()) {
    return false;
  }
  BOOST_OUTCOME_TRY(refs, ParseManifest(*text->second));
  aOut.mManifest = std::move(refs);
  if (aHave != nullptr) {
    for (const auto& it : aOut.mManifest) {
      const auto held = aHave->mTexts.find(it.mDigest);
      if (held != aHave->mTexts.end()) {
        aOut.mTexts.insert(*held);
      }
    }
  }
  return FindMissingDigests(aOut.mManifest, aOut).empty();
}

/// Leaves out chunks that the manifest does not list.
void KeepListed(ChunkSet& aSet)
{
  std::map<std::string, ChunkText, std::less<>> kept;
  kept.insert(*aSet.mTexts.find(aSet.mDigest));
  for (const auto& it : aSet.mManifest) {
    kept.insert(*aSet.mTexts.find(it.mDigest));
  }
  aSet.mTexts = std::move(kept);
}

std::vector<std::string> DigestsOf(const ChunkSet& aSet)
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
  const auto self = RankOf(aSelf, {}, aVersion);
  std::vector<Rank> before;
  for (const auto& it : aMembers) {
    const auto rank = RankOf(it.mName, it.mAddress, aVersion);
    if (it.mName != aSelf && rank < self) {
      before.push_back(rank);
    }
  }
  if (before.size() < kDirectReaders) {
    return {};
  }
  std::sort(before.begin(), before.end());
  FetchPlan plan;
  plan.mReadsFromStore = false;
  plan.mParent = before[before.size() / kChildren - 1].mAddress;
  for (auto n = before.size(); n >= kDirectReaders; n /= kChildren) {
    plan.mDelay += kLevelDelay;
  }
  return plan;
}

Result<ConfigurationSnapshot> FetchFromPeer(const FetchFunction& aCall,
                                            const std::string& aAddress,
                                            const ConfigurationSnapshot& aHeld,
                                            std::int64_t aLeast)
{
  const auto* have = aHeld.mAccepted ? aHeld.mAccepted->Chunks().get() : nullptr;
  wire::ConfigurationRequest request;
  request.haveVersion = aHeld.mHead.mVersion;
  ConfigurationSnapshot out;
  ChunkSet chunks;
  for (int n = 0; n < kMostRounds; ++n) {
    BOOST_OUTCOME_TRY(answer, aCall(aAddress, request));
    if (answer.version < aLeast) {
      return Useless(aAddress, "the peer holds version " + std::to_string(answer.version));
    }
    BOOST_OUTCOME_TRY(head, ParseHead(answer.head));
    if (head.mDigest != chunks.mDigest) {
      chunks.mDigest = head.mDigest;
    }
    out.mHead = head;
    const auto taken = TakeChunks(answer, chunks);
    BOOST_OUTCOME_TRY(complete, Complete(chunks, have));
    if (complete) {
      KeepListed(chunks);
      BOOST_OUTCOME_TRY(
        accepted, MakeAcceptedConfiguration(head.mVersion, std::move(chunks), aHeld.mAccepted));
      out.mAccepted = std::move(accepted);
      return out;
    }
    if (taken == 0 && request.haveVersion == 0) {
      return Useless(aAddress, "the peer's answer lacks chunks");
    }
    if (taken == 0) {
      // The peer remembers another content by this number; name the chunks instead.
      request.haveVersion = 0;
    }
    request.haveChunks = DigestsOf(chunks);
    if (request.haveVersion == 0 && have != nullptr) {
      const auto held = DigestsOf(*have);
      request.haveChunks.insert(request.haveChunks.end(), held.begin(), held.end());
    }
  }
  return Useless(aAddress, "the peer's answer did not become whole");
}

void ConfigurationProvider::Publish(const ConfigurationSnapshot& aVersion)
{
  auto digests = std::make_shared<Digests>();
  for (const auto& it : aVersion.mAccepted->Chunks()->mTexts) {
    digests->insert(it.first);
  }
  const std::lock_guard lock(mMutex);
  mHeld = aVersion;
  mRemembered.emplace_back(aVersion.mHead.mVersion, std::move(digests));
  if (mRemembered.size() > kRememberedVersions) {
    mRemembered.pop_front();
  }
}

wire::ConfigurationAnswer ConfigurationProvider::Answer(
  const wire::ConfigurationRequest& aRequest) const
{
  ConfigurationSnapshot held;
  std::shared_ptr<const Digests> remembered;
  {
    const std::lock_guard lock(mMutex);
    held = mHeld;
    for (const auto& it : mRemembered) {
      remembered = it.first == aRequest.haveVersion ? it.second : remembered;
    }
  }
  wire::ConfigurationAnswer out;
  out.version = held.mHead.mVersion;
  out.head = SerializeHead(held.mHead);
  if (!held.mAccepted || held.mHead.mVersion <= aRequest.haveVersion) {
    return out;
  }
  const Digests have(aRequest.haveChunks.begin(), aRequest.haveChunks.end());
  std::size_t bytes = 0;
  for (const auto& [digest, text] : held.mAccepted->Chunks()->mTexts) {
    if (have.contains(digest) || (remembered && remembered->contains(digest))) {
      continue;
    }
    if (bytes > 0 && bytes + text->size() > kMostAnswerBytes) {
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
