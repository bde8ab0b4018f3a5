#include "gentianloom/report/BurnRecorder.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Lower bound of the allowed share, so that the burn rate of an objective of 100 % stays finite.
constexpr double kMinAllowedShare = 1e-9;

using Counts = std::array<BurnCount, kObjectiveCount>;

void CountRequest(Counts& aCounts, Objective aObjective, bool aMissed)
{
  auto& it = aCounts[static_cast<std::size_t>(aObjective)];
  ++it.mRequests;
  it.mMissed += aMissed ? 1 : 0;
}

void AddSample(Counts& aCounts, const BurnSample& aSample, const ObjectivesSpec& aObjectives)
{
  CountRequest(aCounts, Objective::WrongRefusals, aSample.mWronglyRefused);
  if (!aSample.mAdmitted) {
    return;
  }
  CountRequest(aCounts, Objective::InDeadline, !aSample.mInDeadline);
  if (aSample.mFirstToken) {
    CountRequest(
      aCounts, Objective::FirstToken, *aSample.mFirstToken > Millis(aObjectives.mFirstTokenMs));
  }
  if (aSample.mBetweenTokens) {
    CountRequest(aCounts,
                 Objective::BetweenTokens,
                 *aSample.mBetweenTokens > Millis(aObjectives.mBetweenTokensMs));
  }
}

std::int64_t BucketNumber(const BurnWindow& aWindow, TimePoint aNow)
{
  const auto length = std::chrono::duration_cast<Micros>(aWindow.mLength) / kBurnBuckets;
  return aNow.time_since_epoch() / length;
}

} // namespace

void BurnRecorder::Record(const BurnSample& aSample,
                          const ObjectivesSpec& aObjectives,
                          TimePoint aNow)
{
  const bool hasOwnEntry = mRings.size() < kMaxKeys || mRings.contains(aSample.mKey);
  auto& rings = mRings[hasOwnEntry ? aSample.mKey : kOtherKey];
  for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
    const auto number = BucketNumber(kBurnWindows[window], aNow);
    auto& bucket = rings[window][static_cast<std::size_t>(number) % kBurnBuckets];
    if (bucket.mNumber != number) {
      bucket = Bucket{ number };
    }
    AddSample(bucket.mCounts, aSample, aObjectives);
  }
}

std::map<BurnKey, BurnCounts> BurnRecorder::Counts(TimePoint aNow) const
{
  std::map<BurnKey, BurnCounts> out;
  for (const auto& [key, rings] : mRings) {
    auto& counts = out[key];
    for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
      const auto currentNumber = BucketNumber(kBurnWindows[window], aNow);
      for (const auto& bucket : rings[window]) {
        if (bucket.mNumber < 0 ||
            bucket.mNumber + static_cast<std::int64_t>(kBurnBuckets) <= currentNumber) {
          continue;
        }
        for (std::size_t n = 0; n < kObjectiveCount; ++n) {
          counts[window][n].mRequests += bucket.mCounts[n].mRequests;
          counts[window][n].mMissed += bucket.mCounts[n].mMissed;
        }
      }
    }
  }
  return out;
}

double AllowedShare(const ObjectivesSpec& aObjectives, Objective aObjective)
{
  switch (aObjective) {
    case Objective::InDeadline:
      return 1 - aObjectives.mDeadlineTargetShare;
    case Objective::WrongRefusals:
      return aObjectives.mMaxWrongRefusalShare;
    default:
      return 1 - aObjectives.mLatencyTargetShare;
  }
}

double BurnRate(const BurnCount& aCount, double aAllowedShare)
{
  if (aCount.mRequests == 0) {
    return 0;
  }
  const auto share = static_cast<double>(aCount.mMissed) / static_cast<double>(aCount.mRequests);
  return share / std::max(aAllowedShare, kMinAllowedShare);
}

} // namespace gentianloom
