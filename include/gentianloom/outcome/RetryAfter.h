#ifndef GENTIANLOOM_OUTCOME_RETRY_AFTER_H
#define GENTIANLOOM_OUTCOME_RETRY_AFTER_H

#include "gentianloom/base/Clock.h"

namespace gentianloom {

/**
 * @brief When a caller may come back that was refused because the key-value service is away. Pure.
 *
 * Load pattern: a cut of unknown length that began a while ago. On average it lasts as long again
 * as it has lasted, and a caller that comes back before its end is only refused once more.
 *
 * @param aAwayFor how long the service has been away; zero if it is not
 */
Millis EstimateRetryAfter(Millis aAwayFor);

} // namespace gentianloom

#endif
