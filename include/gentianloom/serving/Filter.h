#ifndef GENTIANLOOM_SERVING_FILTER_H
#define GENTIANLOOM_SERVING_FILTER_H

#include "gentianloom/base/BoundedRing.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/serving/Exchange.h"

#include <functional>
#include <memory>
#include <thread>

namespace gentianloom {

/// Decision of a filter about an exchange.
enum class FilterDecision
{
  Pass,   ///< passed to the next filter
  Reject, ///< rejected with FilterResult::mError
  Park    ///< kept by the filter, which passes it on or rejects it later
};

/// Result of Filter::Apply().
struct FilterResult
{
  FilterDecision mDecision = FilterDecision::Pass;
  std::optional<Error> mError{}; ///< set for FilterDecision::Reject
};

/**
 * @brief One processing step of the pipeline. Called only on the thread of its stage.
 */
class Filter
{
public:
  virtual ~Filter() = default;

  /// @brief The step that this filter performs, for metrics and errors.
  virtual Step HandledStep() const = 0;

  /// @brief Processes one exchange. Must not wait for network I/O.
  virtual FilterResult Apply(const ExchangePtr& aExchange) = 0;
};

/**
 * @brief Runs a filter on its own thread, with a bounded queue of exchanges.
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

  /// @brief Processes the queued exchanges, then ends the thread.
  void Stop();

  /// @brief Appends an exchange to the queue. @return false if the queue is full
  bool Submit(ExchangePtr aExchange);

private:
  void Run();
  void Handle(const ExchangePtr& aExchange);

  std::unique_ptr<Filter> mFilter;
  BoundedRing<ExchangePtr> mRing;
  PassedCallback mOnPassed;
  RejectedCallback mOnRejected;
  Histogram& mDurationHistogram;
  Counter& mShedCounter; ///< exchanges that were not accepted because the queue was full
  std::thread mThread;
};

} // namespace gentianloom

#endif
