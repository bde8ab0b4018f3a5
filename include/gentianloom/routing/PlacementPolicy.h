#ifndef GENTIANLOOM_ROUTING_PLACEMENT_POLICY_H
#define GENTIANLOOM_ROUTING_PLACEMENT_POLICY_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace gentianloom {

/// Source of random numbers. Seeded, so that a test or simulation can be repeated.
using RandomSource = std::mt19937_64;

/// An endpoint that can take a request, with its estimated latency and load.
struct Candidate
{
  std::string_view mName;
  double mFirstTokenMs = 0; ///< expected time to the first token, including queueing
  double mLoad =
    0; ///< requests per slot, above 1 if some wait; requests if the slots are not known
};

/**
 * @brief Chooses one of the endpoints that can take a request. No clock or I/O.
 */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /**
   * @brief Chooses an endpoint.
   * @param aCandidates endpoints to choose from, at least one
   * @param aRandom random source
   * @return index of the chosen candidate
   * @par Complexity at most linear in the candidates
   */
  virtual std::size_t Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom) = 0;
};

/// Chooses the endpoints in turn. Used as a baseline in comparisons.
class RoundRobinPolicy final : public PlacementPolicy
{
public:
  std::size_t Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom) override;

private:
  std::size_t mNext = 0;
};

/// Chooses an endpoint uniformly at random. Used as a baseline in comparisons.
class RandomPolicy final : public PlacementPolicy
{
public:
  std::size_t Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom) override;
};

/**
 * @brief Samples a few candidates at random and chooses the one with the shortest expected time to
 * the first token (power of d choices).
 *
 * Without sampling, routers with the same outdated load reports would all choose the same endpoint.
 * A candidate outside the sample is chosen if its expected time is less than half that of the best
 * sampled candidate, for example because it has cached the prompt's prefix.
 */
class LeastWaitPolicy final : public PlacementPolicy
{
public:
  /// @param aSampleSize candidates sampled for each choice; less than 2 counts as 2
  explicit LeastWaitPolicy(std::size_t aSampleSize)
    : mSampleSize(aSampleSize < 2 ? 2 : aSampleSize)
  {
  }
  std::size_t Choose(std::span<const Candidate> aCandidates, RandomSource& aRandom) override;

private:
  std::size_t mSampleSize;
};

/**
 * @brief Creates a policy by its name in the settings.
 * @param aName `least-wait`, `round-robin` or `random`; any other name gives `least-wait`
 */
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view aName,
                                                     std::size_t aSampleSize);

} // namespace gentianloom

#endif
