#include "gentianloom/routing/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

constexpr std::chrono::seconds kHistoryLength{ 15 };
constexpr std::size_t kMaxSamples = 4'096;
/// Half-life of the weight of the other routers' requests.
constexpr double kReportHalfLifeSeconds = 10;

} // namespace

void LoadEstimate::RecordChange(TimePoint aNow, std::int64_t aDelta)
{
  mOwnCount += aDelta;
  mHistory.push_back({ aNow, mOwnCount });
  // One sample that is older than the window is kept: it gives the count at the window's start.
  while (mHistory.size() > 1 &&
         (mHistory.size() > kMaxSamples || mHistory[1].mAt < aNow - kHistoryLength)) {
    mHistory.pop_front();
  }
}

std::int64_t LoadEstimate::OwnCountAt(TimePoint aWhen) const
{
  const auto after = std::upper_bound(
    mHistory.begin(), mHistory.end(), aWhen, [](TimePoint aLeft, const Sample& aRight) {
      return aLeft < aRight.mAt;
    });
  return after == mHistory.begin() ? 0 : std::prev(after)->mOwnCount;
}

void LoadEstimate::OnReport(std::int64_t aRunning, TimePoint aAsOf)
{
  if (aAsOf < mMeasuredAt) {
    return;
  }
  mMeasuredAt = aAsOf;
  mOthersCount = static_cast<double>(std::max<std::int64_t>(0, aRunning - OwnCountAt(aAsOf)));
}

double LoadEstimate::Running(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mMeasuredAt;
  const double weight = std::exp2(-age.count() / kReportHalfLifeSeconds);
  return static_cast<double>(mOwnCount) + mOthersCount * std::min(1.0, weight);
}

} // namespace gentianloom
