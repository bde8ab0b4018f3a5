#ifndef GENTIANLOOM_BASE_JITTER_H
#define GENTIANLOOM_BASE_JITTER_H

namespace gentianloom {

/**
 * @brief Draws a random factor for delays, so that processes that failed at the same time do not
 * retry at the same time.
 * @return a number from 0 to 1 (exclusive), uniformly distributed
 */
double Jitter();

} // namespace gentianloom

#endif
