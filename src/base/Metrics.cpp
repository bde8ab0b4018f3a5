#include "gentianloom/base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdio>

namespace gentianloom {

namespace {

namespace acc = boost::accumulators;

/// Upper bounds of the buckets, in seconds.
constexpr std::array kBucketBounds = { 0.0001, 0.0005, 0.001, 0.005, 0.01, 0.034, 0.05, 0.1,
                                       0.25,   0.5,    0.79,  1.0,   2.5,  5.0,   10.0, 30.0 };

std::string FormatNumber(double aValue)
{
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.9g", aValue);
  return { buf.data(), static_cast<std::size_t>(n) };
}

std::string FormatLabels(std::string_view aLabels, std::string_view aExtraLabel = {})
{
  std::string out(aLabels);
  if (!out.empty() && !aExtraLabel.empty()) {
    out += ",";
  }
  out += aExtraLabel;
  return out.empty() ? out : "{" + out + "}";
}

void AppendSample(std::string& aOut,
                  std::string_view aName,
                  const std::string& aLabels,
                  double aValue)
{
  aOut.append(aName).append(aLabels).append(" ").append(FormatNumber(aValue)).append("\n");
}

} // namespace

struct Histogram::State
{
  using Bucket = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
  mutable std::mutex mMutex;
  std::array<Bucket, kBucketBounds.size() + 1> mBuckets;
};

Histogram::Histogram()
  : mState(std::make_unique<State>())
{
}

Histogram::~Histogram() = default;

void Histogram::Observe(double aSeconds)
{
  std::size_t n = 0;
  while (n < kBucketBounds.size() && aSeconds > kBucketBounds[n]) {
    ++n;
  }
  const std::lock_guard lock(mState->mMutex);
  mState->mBuckets[n](aSeconds);
}

void Histogram::Render(std::string& aOut, std::string_view aName, std::string_view aLabels) const
{
  const std::lock_guard lock(mState->mMutex);
  double count = 0;
  double sum = 0;
  for (std::size_t n = 0; n < mState->mBuckets.size(); ++n) {
    count += static_cast<double>(acc::count(mState->mBuckets[n]));
    sum += acc::sum(mState->mBuckets[n]);
    const auto bound =
      n < kBucketBounds.size() ? FormatNumber(kBucketBounds[n]) : std::string("+Inf");
    AppendSample(
      aOut, std::string(aName) + "_bucket", FormatLabels(aLabels, "le=\"" + bound + "\""), count);
  }
  AppendSample(aOut, std::string(aName) + "_sum", FormatLabels(aLabels), sum);
  AppendSample(aOut, std::string(aName) + "_count", FormatLabels(aLabels), count);
}

namespace {

template<typename T, typename Table>
T& FindOrCreate(std::mutex& aMutex,
                Table& aTable,
                const std::string& aName,
                const std::string& aLabels)
{
  const std::lock_guard lock(aMutex);
  auto& slot = aTable[aName][aLabels];
  if (!slot) {
    slot = std::make_unique<T>();
  }
  return *slot;
}

} // namespace

Counter& Metrics::CounterOf(const std::string& aName, const std::string& aLabels)
{
  return FindOrCreate<Counter>(mMutex, mCounters, aName, aLabels);
}

Gauge& Metrics::GaugeOf(const std::string& aName, const std::string& aLabels)
{
  return FindOrCreate<Gauge>(mMutex, mGauges, aName, aLabels);
}

Histogram& Metrics::HistogramOf(const std::string& aName, const std::string& aLabels)
{
  return FindOrCreate<Histogram>(mMutex, mHistograms, aName, aLabels);
}

std::string Metrics::Render() const
{
  const std::lock_guard lock(mMutex);
  std::string out;
  for (const auto& [name, rows] : mCounters) {
    out += "# TYPE " + name + " counter\n";
    for (const auto& [labels, it] : rows) {
      AppendSample(out, name, FormatLabels(labels), static_cast<double>(it->Value()));
    }
  }
  for (const auto& [name, rows] : mGauges) {
    out += "# TYPE " + name + " gauge\n";
    for (const auto& [labels, it] : rows) {
      AppendSample(out, name, FormatLabels(labels), static_cast<double>(it->Value()));
    }
  }
  for (const auto& [name, rows] : mHistograms) {
    out += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, it] : rows) {
      it->Render(out, name, labels);
    }
  }
  return out;
}

} // namespace gentianloom
