#ifndef GENTIANLOOM_GATEWAY_BUDGET_KEEPERS_H
#define GENTIANLOOM_GATEWAY_BUDGET_KEEPERS_H

#include "gentianloom/membership/Keepers.h"

#include "gentianloom/base/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Which instances keep a budget: draw tokens from its record and reserve them for the
 *        requests of all instances. No I/O.
 *
 * Few keepers hold a budget in few large pieces, which serve requests of any size at any instance,
 * and seldom meet each other's writes of the record. There are two, so that the budget is served
 * while one of them has ended, and each one's loss costs a part of the reserve only.
 */
class BudgetKeepers
{
public:
  static constexpr std::size_t kKeepers = 2;

  /**
   * @param aSelf address of this instance, the same that its peers know
   * @param aPeers returns the addresses of the other instances that do not leave
   */
  BudgetKeepers(std::string aSelf,
                std::function<std::vector<std::string>()> aPeers,
                const Clock& aClock);

  /**
   * @brief Returns the keepers that this instance asks, in order. Instances divide themselves among
   *        the keepers by their own address; a keeper asks itself first.
   */
  std::vector<std::string> ToAsk(const std::string& aBudget);

  /// @brief Whether this instance is one of a budget's keepers.
  bool IsKeeper(const std::string& aBudget);

  /// @brief Notes that an instance did not answer, so that it is asked last for some time.
  void OnUnresponsive(const std::string& aInstance);

  const std::string& Self() const { return mSelf; }

private:
  /// How long a list is used before it is computed again from the peers' addresses.
  static constexpr Millis kListLifetime{ 100 };
  static constexpr Millis kUnresponsiveTime{ 1'000 };

  struct List
  {
    TimePoint mComputedAt{};
    std::vector<std::string> mKeepers;
  };

  const std::vector<std::string>& KeepersOf(const std::string& aBudget);

  std::string mSelf;
  std::function<std::vector<std::string>()> mPeers;
  const Clock& mClock;
  std::map<std::string, List> mLists;                  ///< by budget
  std::map<std::string, TimePoint> mUnresponsiveUntil; ///< by instance
};

} // namespace gentianloom

#endif
