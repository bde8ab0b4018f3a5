#include "gentianloom/routing/PlacementPolicy.h"

#include <tuple>

namespace gentianloom {

std::size_t RoundRobinPolicy::Choose(std::span<const Candidate> aCandidates,
                                     RandomSource& /*aRandom*/)
{
  return mNext++ % aCandidates.size();
}

std::size_t RandomPolicy::Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom)
{
  return aRandom() % aCandidates.size();
}

std::size_t LeastWaitPolicy::Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom)
{
  // Lower is better.
  const auto rank = [&](std::size_t aIndex) {
    return std::tuple(aCandidates[aIndex].mFirstTokenMs, aCandidates[aIndex].mLoad);
  };
  auto best = aRandom() % aCandidates.size();
  for (std::size_t n = 1; n < mSampleSize; ++n) {
    const auto sampled = aRandom() % aCandidates.size();
    if (rank(sampled) < rank(best)) {
      best = sampled;
    }
  }
  // A candidate outside the sample is chosen if its expected time to the first token is below this
  // share of that of the best sampled candidate.
  constexpr double kMuchBetterRatio = 0.5;
  auto bestOverall = best;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    if (rank(n) < rank(bestOverall)) {
      bestOverall = n;
    }
  }
  const bool isMuchBetter =
    aCandidates[bestOverall].mFirstTokenMs < kMuchBetterRatio * aCandidates[best].mFirstTokenMs;
  return isMuchBetter ? bestOverall : best;
}

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view aName,
                                                     std::size_t aSampleSize)
{
  if (aName == "round-robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (aName == "random") {
    return std::make_unique<RandomPolicy>();
  }
  return std::make_unique<LeastWaitPolicy>(aSampleSize);
}

} // namespace gentianloom
