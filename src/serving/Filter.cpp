#include "gentianloom/serving/Filter.h"

namespace gentianloom {

namespace {

constexpr Millis kPollInterval{ 200 };

std::string StepLabel(Step aStep)
{
  return "step=\"" + std::string(ToString(aStep)) + "\"";
}

} // namespace

Stage::Stage(std::unique_ptr<Filter> aFilter,
             std::size_t aRingSlots,
             Next aNext,
             Refused aRefused,
             Metrics& aMetrics)
  : mFilter(std::move(aFilter))
  , mRing(aRingSlots)
  , mNext(std::move(aNext))
  , mRefused(std::move(aRefused))
  , mSeconds(aMetrics.HistogramOf("gentianloom_stage_seconds", StepLabel(mFilter->Duty())))
  , mShed(aMetrics.CounterOf("gentianloom_shed_total", StepLabel(mFilter->Duty())))
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
  const bool taken = mRing.TryPush(std::move(aExchange));
  if (!taken) {
    mShed.Add();
  }
  return taken;
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
    mSeconds.Observe(took.count());
  }
}

void Stage::Handle(const ExchangePtr& aExchange)
{
  auto answer = mFilter->Apply(aExchange);
  switch (answer.mVerdict) {
    case Verdict::Pass:
      mNext(aExchange);
      return;
    case Verdict::Refuse:
      mRefused(aExchange, *answer.mError);
      return;
    case Verdict::Park:
      return;
  }
}

} // namespace gentianloom
