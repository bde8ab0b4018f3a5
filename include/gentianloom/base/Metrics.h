#ifndef GENTIANLOOM_BASE_METRICS_H
#define GENTIANLOOM_BASE_METRICS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace gentianloom {

/// A monotonically increasing counter. Thread-safe.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1) { mValue.fetch_add(aCount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
  void Set(std::int64_t aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  void Add(std::int64_t aDelta) { mValue.fetch_add(aDelta, std::memory_order_relaxed); }
  std::int64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

/// A histogram of durations in seconds, implemented with Boost.Accumulators. Thread-safe.
class Histogram
{
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// @brief Adds one duration. @param aSeconds duration in seconds
  void Observe(double aSeconds);

  /// @brief Appends this histogram in the Prometheus text format. @param aName name without labels
  void Render(std::string& aOut, std::string_view aName, std::string_view aLabels) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

/**
 * @brief Registry of all metrics of a process, by name and labels.
 *
 * A metric is created when it is first requested; references to it stay valid as long as the
 * registry exists. Labels have the Prometheus text form, for example `step="request.place"`.
 */
class Metrics
{
public:
  Counter& CounterOf(const std::string& aName, const std::string& aLabels = {});
  Gauge& GaugeOf(const std::string& aName, const std::string& aLabels = {});
  Histogram& HistogramOf(const std::string& aName, const std::string& aLabels = {});

  /// @brief Returns all metrics in the Prometheus text format.
  std::string Render() const;

private:
  template<typename T>
  using Table = std::map<std::string, std::map<std::string, std::unique_ptr<T>>>;

  mutable std::mutex mMutex;
  Table<Counter> mCounters;
  Table<Gauge> mGauges;
  Table<Histogram> mHistograms;
};

} // namespace gentianloom

#endif
