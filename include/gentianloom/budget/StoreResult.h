#ifndef GENTIANLOOM_BUDGET_STORE_RESULT_H
#define GENTIANLOOM_BUDGET_STORE_RESULT_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/WritePacer.h"

#include <string>

namespace gentianloom {

/**
 * @brief Records whether a call to the key-value service succeeded.
 *
 * Updates the back-off of the next call, counts failures, and logs when the service becomes
 * unavailable or available again.
 *
 * @param aError error of a failed call, for the log
 */
void RecordStoreResult(WritePacer& aPacer,
                       Metrics& aMetrics,
                       bool aSucceeded,
                       const std::string& aError,
                       TimePoint aNow);

} // namespace gentianloom

#endif
