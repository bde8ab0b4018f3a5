#include "gentianloom/routing/LoadTrend.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Time over which reports are averaged.
constexpr double kAveragingSeconds = 20;
/// Time in which an average loses its weight without new reports.
constexpr double kAverageLifetimeSeconds = 30;
/// Largest weight of one report in the average: a single report is a random moment.
constexpr double kMaxSampleWeight = 0.1;
/// Time in which a reported pace loses its weight; it changes several times a second.
constexpr double kPaceLifetimeSeconds = 0.2;

double SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

/// Weight of a further sample. The first samples are averaged equally.
double SampleWeight(std::int64_t aSamples, double aSecondsSinceLast)
{
  const double byTime =
    std::min(kMaxSampleWeight, 1 - std::exp(-aSecondsSinceLast / kAveragingSeconds));
  return std::max(byTime, aSamples < 4 ? 1.0 / static_cast<double>(aSamples + 1) : 0.0);
}

void MoveTowards(double& aAverage, double aSample, double aWeight)
{
  aAverage += aWeight * (aSample - aAverage);
}

} // namespace

void LoadTrend::OnReport(const LoadSample& aSample, TimePoint aAsOf)
{
  if (mSamples > 0 && aAsOf < mMeasuredAt) {
    return;
  }
  const double passed = SecondsBetween(mMeasuredAt, aAsOf);
  const double weight = SampleWeight(mSamples, passed);
  MoveTowards(mAverageRequests, aSample.mRequests, weight);
  MoveTowards(mAverageOthers, aSample.mOthers, weight);
  mLastOthers = aSample.mOthers;
  ++mSamples;
  if (aSample.mPacePercent) {
    mLastPace = static_cast<double>(*aSample.mPacePercent) / 100;
    MoveTowards(mAveragePace, mLastPace, SampleWeight(mPaceSamples, passed));
    ++mPaceSamples;
  }
  mMeasuredAt = aAsOf;
}

double LoadTrend::Others(TimePoint aNow, Millis aRequestTime) const
{
  const double lifetime = std::chrono::duration<double>(aRequestTime).count();
  const double weight = std::exp(-SecondsBetween(mMeasuredAt, aNow) / lifetime);
  return mAverageOthers + weight * (mLastOthers - mAverageOthers);
}

double LoadTrend::Freshness(TimePoint aNow) const
{
  return std::exp(-SecondsBetween(mMeasuredAt, aNow) / kAverageLifetimeSeconds);
}

double LoadTrend::RelativePace(TimePoint aNow) const
{
  if (mAveragePace <= 0) {
    return 1;
  }
  const double weight = std::exp(-SecondsBetween(mMeasuredAt, aNow) / kPaceLifetimeSeconds);
  return 1 + weight * (mLastPace / mAveragePace - 1);
}

} // namespace gentianloom
