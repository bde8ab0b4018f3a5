#include "gentianloom/budget/StoreResult.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"

namespace gentianloom {

void RecordStoreResult(WritePacer& aPacer,
                       Metrics& aMetrics,
                       bool aSucceeded,
                       const std::string& aError,
                       TimePoint aNow)
{
  if (aSucceeded == aPacer.IsStoreUnavailable()) {
    LogChange(aSucceeded ? LogLevel::Info : LogLevel::Warning,
              "budget",
              aSucceeded ? "the key-value service is available again"
                         : "the key-value service is unavailable; only granted tokens can be used",
              { { "error", aError } });
  }
  if (aSucceeded) {
    aPacer.OnSuccess();
    return;
  }
  aMetrics.CounterOf("gentianloom_budget_commit_failures_total").Add();
  aPacer.OnFailure(aNow, Jitter());
}

} // namespace gentianloom
