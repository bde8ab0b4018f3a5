#include "gentianloom/budget/StoreResult.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"

namespace gentianloom {

void RecordStoreResult(WritePacer& aPacer,
                       Metrics& aMetrics,
                       bool aWorks,
                       const std::string& aWhy,
                       TimePoint aNow)
{
  if (aWorks == aPacer.IsStoreUnavailable()) {
    LogChange(aWorks ? LogLevel::Info : LogLevel::Warning,
              "budget",
              aWorks ? "the key-value service answers again"
                     : "the key-value service is away; selling what is held",
              { { "why", aWhy } });
  }
  if (aWorks) {
    aPacer.OnSuccess();
    return;
  }
  aMetrics.CounterOf("gentianloom_budget_commit_failures_total").Add();
  aPacer.OnFailure(aNow, Jitter());
}

} // namespace gentianloom
