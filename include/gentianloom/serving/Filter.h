#ifndef GENTIANLOOM_SERVING_FILTER_H
#define GENTIANLOOM_SERVING_FILTER_H

#include "gentianloom/base/BoundedRing.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/serving/Exchange.h"

#include <functional>
#include <memory>
#include <thread>

namespace gentianloom {

/// What a filter decided about an exchange.
enum class FilterDecision
{
  Pass,   ///< goes on to the next filter
  Reject, ///< answered with the error that the filter set
  Park    ///< the filter keeps it and gives it back to its stage later
};

/// Answer of a filter.
struct FilterResult
{
  FilterDecision mDecision = FilterDecision::Pass;
  std::optional<Error> mError{}; ///< with Verdict::Refuse
};

/**
 * @brief One duty of the pipeline. Runs on the thread of its stage only.
 */
class Filter
{
public:
  virtual ~Filter() = default;

  /// @brief The step that this filter does, for metrics and errors.
  virtual Step HandledStep() const = 0;

  /// @brief Decides about one exchange. Must not block on the network.
  virtual FilterResult Apply(const ExchangePtr& aExchange) = 0;
};

/**
 * @brief A filter with its bounded ring and its thread.
 */
class Stage
{
public:
  using PassedCallback = std::function<void(const ExchangePtr&)>;
  using RejectedCallback = std::function<void(const ExchangePtr&, const Error&)>;

  Stage(std::unique_ptr<Filter> aFilter,
        std::size_t aRingSlots,
        PassedCallback aOnPassed,
        RejectedCallback aOnRejected,
        Metrics& aMetrics);
  ~Stage();

  void Start();

  /// @brief Ends the thread after the ring is empty.
  void Stop();

  /// @brief Gives an exchange to the stage. @return false if its ring is full
  bool Submit(ExchangePtr aExchange);

private:
  void Run();
  void Handle(const ExchangePtr& aExchange);

  std::unique_ptr<Filter> mFilter;
  BoundedRing<ExchangePtr> mRing;
  PassedCallback mOnPassed;
  RejectedCallback mOnRejected;
  Histogram& mDurationHistogram;
  Counter& mShedCounter;
  std::thread mThread;
};

} // namespace gentianloom

#endif
