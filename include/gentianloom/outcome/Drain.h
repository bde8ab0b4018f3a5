#ifndef GENTIANLOOM_OUTCOME_DRAIN_H
#define GENTIANLOOM_OUTCOME_DRAIN_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/settings/Settings.h"

namespace gentianloom {

/// How far a router has left.
enum class DrainPhase : std::uint8_t
{
  Serving,   ///< takes work and is told to callers
  Announced, ///< told to callers no longer; takes work of those who still have its address
  Draining,  ///< refuses new work, finishes what it has
  Flushing   ///< has no work left, or no time: writes bills and outcomes, gives grants back, ends
};

/**
 * @brief Decides how a router leaves. Pure decisions; not thread-safe.
 *
 * The first signal announces; once the addresses' time to live has passed new work is refused; once
 * no work is open, or the limit has passed, or a second signal came, the router flushes.
 */
class Drain
{
public:
  explicit Drain(const DrainSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// @brief Takes a signal to leave; the second one ends the waiting.
  void OnSignal(TimePoint aNow);

  /**
   * @brief Takes the passing of time.
   * @param aOpen requests that are being served
   * @return the phase now
   */
  DrainPhase Advance(TimePoint aNow, int aOpen);

  DrainPhase Phase() const { return mPhase; }

private:
  DrainSettings mSettings;
  DrainPhase mPhase = DrainPhase::Serving;
  TimePoint mSignalled{};
  bool mHurry = false;
};

} // namespace gentianloom

#endif
