#ifndef GENTIANLOOM_BUDGET_STORE_RESULT_H
#define GENTIANLOOM_BUDGET_STORE_RESULT_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/WritePacer.h"

#include <string>

namespace gentianloom {

/**
 * @brief Takes whether a call of a round succeeded: paces the next one, counts failures, and logs
 *        when the key-value service is lost or regained.
 * @param aWhy the error of a call that failed
 */
void RecordStoreResult(WritePacer& aPacer,
                       Metrics& aMetrics,
                       bool aWorks,
                       const std::string& aWhy,
                       TimePoint aNow);

} // namespace gentianloom

#endif
