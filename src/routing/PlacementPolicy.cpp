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
  const auto rank = [&](std::size_t it) {
    return std::tuple(aCandidates[it].mFirstTokenMs, aCandidates[it].mLoad);
  };
  auto best = aRandom() % aCandidates.size();
  for (std::size_t n = 1; n < mSampleSize; ++n) {
    const auto sampled = aRandom() % aCandidates.size();
    if (rank(sampled) < rank(best)) {
      best = sampled;
    }
  }
  // A candidate outside the sample is chosen if its expected time is below this share of the best
  // sampled one.
  constexpr double kMuchBetterRatio = 0.5;
  auto overall = best;
  for (std::size_t it = 0; it < aCandidates.size(); ++it) {
    if (rank(it) < rank(overall)) {
      overall = it;
    }
  }
  const bool muchBetter =
    aCandidates[overall].mFirstTokenMs < kMuchBetterRatio * aCandidates[best].mFirstTokenMs;
  return muchBetter ? overall : best;
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
