#include "gentianloom/serving/Filter.h"

namespace gentianloom {

namespace {

/// Maximum wait for an exchange before the loop checks again whether the ring is closed.
constexpr Millis kPollInterval{ 200 };

std::string StepLabel(Step aStep)
{
  return "step=\"" + std::string(ToString(aStep)) + "\"";
}

} // namespace

Stage::Stage(std::unique_ptr<Filter> aFilter,
             std::size_t aRingSlots,
             PassedCallback aOnPassed,
             RejectedCallback aOnRejected,
             Metrics& aMetrics)
  : mFilter(std::move(aFilter))
  , mRing(aRingSlots)
  , mOnPassed(std::move(aOnPassed))
  , mOnRejected(std::move(aOnRejected))
  , mDurationHistogram(
      aMetrics.HistogramOf("gentianloom_stage_seconds", StepLabel(mFilter->HandledStep())))
  , mShedCounter(aMetrics.CounterOf("gentianloom_shed_total", StepLabel(mFilter->HandledStep())))
{
}

Stage::~Stage()
{
  Stop();
}

void Stage::Start()
{
  mThread = std::thread([this] { Run(); });
}

void Stage::Stop()
{
  mRing.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool Stage::Submit(ExchangePtr aExchange)
{
  const bool isQueued = mRing.TryPush(std::move(aExchange));
  if (!isQueued) {
    mShedCounter.Add();
  }
  return isQueued;
}

void Stage::Run()
{
  while (!mRing.IsFinished()) {
    auto it = mRing.PopFor(kPollInterval);
    if (!it) {
      continue;
    }
    const auto start = std::chrono::steady_clock::now();
    Handle(*it);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    mDurationHistogram.Observe(took.count());
  }
}

void Stage::Handle(const ExchangePtr& aExchange)
{
  auto result = mFilter->Apply(aExchange);
  switch (result.mDecision) {
    case FilterDecision::Pass:
      mOnPassed(aExchange);
      return;
    case FilterDecision::Reject:
      mOnRejected(aExchange, *result.mError);
      return;
    case FilterDecision::Park:
      return;
  }
}

} // namespace gentianloom
