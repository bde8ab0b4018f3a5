#ifndef GENTIANLOOM_BASE_JITTER_H
#define GENTIANLOOM_BASE_JITTER_H

namespace gentianloom {

/**
 * @brief Draws a random number, so that processes that failed at one moment do not come back at
 * one.
 * @return from 0 to 1, evenly distributed
 */
double Jitter();

} // namespace gentianloom

#endif
