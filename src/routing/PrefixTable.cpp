#include "gentianloom/routing/PrefixTable.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

constexpr std::size_t kMaxEntries = 8'192;
/// Confidence in an entry that the engine reported.
constexpr double kEventConfidence = 0.95;
/// Confidence in an entry of a prompt that was sent to the endpoint.
constexpr double kSentConfidence = 0.8;
/// Factor of the confidence for each gap after the entry was stored.
constexpr double kGapFactor = 0.5;
/// Half-life of the confidence.
constexpr double kHalfLifeSeconds = 120;
/// Confidence below which a block counts as not cached.
constexpr double kMinConfidence = 0.1;

} // namespace

std::string_view ExtractPrompt(std::string_view aBody)
{
  const auto at = aBody.find("\"messages\"");
  return at == std::string_view::npos ? aBody : aBody.substr(at);
}

PrefixHashes HashPrefixes(std::string_view aPrompt)
{
  PrefixHashes out;
  const auto blocks = std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  out.reserve(blocks);
  std::uint64_t chained = 0;
  for (std::size_t n = 0; n < blocks; ++n) {
    chained = StableHash(aPrompt.substr(n * kPrefixBlockBytes, kPrefixBlockBytes), chained);
    out.push_back(chained);
  }
  return out;
}

void PrefixTable::OnEvent(const CacheEvent& aEvent, TimePoint aNow)
{
  if (aEvent.mSequence <= mLastSequence) {
    return;
  }
  if (mLastSequence != 0 && aEvent.mSequence != mLastSequence + 1) {
    ++mGapCount;
  }
  mLastSequence = aEvent.mSequence;
  if (aEvent.mIsStored) {
    Store(aEvent.mHash, kEventConfidence, aNow);
  } else {
    mEntries.erase(aEvent.mHash);
  }
}

void PrefixTable::AddSentPrompt(std::span<const std::uint64_t> aPrefixes, TimePoint aNow)
{
  for (const auto it : aPrefixes) {
    if (ConfidenceOf(it, aNow) < kSentConfidence) {
      Store(it, kSentConfidence, aNow);
    }
  }
}

void PrefixTable::Clear()
{
  mEntries.clear();
  mInsertionOrder.clear();
  mLastSequence = 0;
}

void PrefixTable::Store(std::uint64_t aHash, double aConfidence, TimePoint aNow)
{
  const auto [it, added] = mEntries.insert_or_assign(aHash, Entry{ aNow, aConfidence, mGapCount });
  if (added) {
    mInsertionOrder.push_back(it->first);
  }
  while (mInsertionOrder.size() > kMaxEntries) {
    mEntries.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

double PrefixTable::ConfidenceOf(std::uint64_t aHash, TimePoint aNow) const
{
  const auto it = mEntries.find(aHash);
  if (it == mEntries.end()) {
    return 0;
  }
  const std::chrono::duration<double> age = aNow - it->second.mStoredAt;
  const auto gaps = static_cast<double>(mGapCount - it->second.mGapCount);
  return it->second.mConfidence * std::exp2(-age.count() / kHalfLifeSeconds) *
         std::pow(kGapFactor, gaps);
}

double PrefixTable::CachedShare(std::span<const std::uint64_t> aPrefixes, TimePoint aNow) const
{
  double blocks = 0;
  for (const auto it : aPrefixes) {
    const double confidence = ConfidenceOf(it, aNow);
    // A block can be reused only if all blocks before it are cached.
    if (confidence < kMinConfidence) {
      break;
    }
    blocks += confidence;
  }
  return aPrefixes.empty() ? 0 : blocks / static_cast<double>(aPrefixes.size());
}

} // namespace gentianloom
