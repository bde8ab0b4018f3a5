#include "Targets.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

namespace gentianloom::fuzz {

namespace {

constexpr std::string_view kTokens[] = { "{",
                                         "}",
                                         "[",
                                         "]",
                                         ",",
                                         ":",
                                         "\"",
                                         "null",
                                         "-1",
                                         "1e999",
                                         "/*",
                                         "*/",
                                         "//",
                                         "true",
                                         "\\u0000",
                                         "\xff",
                                         "18446744073709551616" };
constexpr int kMaxMutations = 6;

using Random = std::mt19937_64;

std::size_t RandomBelow(Random& aRandom, std::size_t aLimit)
{
  return aLimit == 0 ? 0 : aRandom() % aLimit;
}

/// Applies one random mutation: replaces a byte, inserts a token, erases a part or duplicates a
/// part.
void Mutate(std::string& aInput, Random& aRandom)
{
  const auto position = RandomBelow(aRandom, aInput.size() + 1);
  switch (RandomBelow(aRandom, 4)) {
    case 0:
      if (position < aInput.size()) {
        aInput[position] = static_cast<char>(aRandom());
      }
      return;
    case 1:
      aInput.insert(position, kTokens[RandomBelow(aRandom, std::size(kTokens))]);
      return;
    case 2:
      aInput.erase(position, RandomBelow(aRandom, 20));
      return;
    default:
      aInput.insert(position, aInput.substr(RandomBelow(aRandom, aInput.size()), 40));
      return;
  }
}

int RunTarget(const Target& aTarget, std::uint64_t aSeed, int aRuns)
{
  Random random(aSeed);
  for (int n = 0; n < aRuns; ++n) {
    std::string input(aTarget.mCorpus[RandomBelow(random, aTarget.mCorpus.size())]);
    const auto mutations = RandomBelow(random, kMaxMutations + 1);
    for (std::size_t i = 0; i < mutations; ++i) {
      Mutate(input, random);
    }
    const auto failure = aTarget.mRun(input);
    if (!failure.empty()) {
      std::cerr << aTarget.mName << ": seed " << aSeed << " run " << n << ": " << failure
                << "\ninput: " << input << "\n";
      return 1;
    }
  }
  std::cout << aTarget.mName << ": " << aRuns << " inputs, seed " << aSeed << "\n";
  return 0;
}

} // namespace

} // namespace gentianloom::fuzz

/// Usage: fuzz-tests [SEED [RUNS]]; the same seed gives the same inputs.
int main(int argc, char** argv)
{
  constexpr int kRuns = 80'000;
  const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const int runs = argc > 2 ? std::atoi(argv[2]) : kRuns;
  int failedTargets = 0;
  for (const auto& it : gentianloom::fuzz::Targets()) {
    failedTargets += gentianloom::fuzz::RunTarget(it, seed, runs);
  }
  return failedTargets == 0 ? 0 : 1;
}
