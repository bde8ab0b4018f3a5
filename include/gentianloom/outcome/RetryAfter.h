#ifndef GENTIANLOOM_OUTCOME_RETRY_AFTER_H
#define GENTIANLOOM_OUTCOME_RETRY_AFTER_H

#include "gentianloom/base/Clock.h"

namespace gentianloom {

/**
 * @brief Estimates after which delay a caller should retry a request that was refused because of an
 * outage of the key-value service. Pure function.
 *
 * Load pattern: an outage of unknown length that began a while ago. The best estimate of its
 * remaining length is the time that it has already lasted, and a retry before its end is only
 * refused again.
 *
 * @param aOutageDuration how long the key-value service has been unavailable; zero if it is not
 * @return delay before the retry, bounded below and above
 */
Millis EstimateRetryAfter(Millis aOutageDuration);

} // namespace gentianloom

#endif
