#include "gentianloom/gateway/BudgetKeepers.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

BudgetKeepers::BudgetKeepers(std::string aSelf,
                             std::function<std::vector<std::string>()> aPeers,
                             const Clock& aClock)
  : mSelf(std::move(aSelf))
  , mPeers(std::move(aPeers))
  , mClock(aClock)
{
}

const std::vector<std::string>& BudgetKeepers::KeepersOf(const std::string& aBudget)
{
  const auto now = mClock.Now();
  auto& list = mLists[aBudget];
  if (list.mKeepers.empty() || now - list.mComputedAt >= kListLifetime) {
    auto instances = mPeers();
    instances.push_back(mSelf);
    list = { now, ChooseKeepers(StableHash(aBudget), std::move(instances), kKeepers) };
  }
  return list.mKeepers;
}

std::vector<std::string> BudgetKeepers::ToAsk(const std::string& aBudget)
{
  auto out = KeepersOf(aBudget);
  const auto self = std::find(out.begin(), out.end(), mSelf);
  const auto first = self != out.end()
                       ? self
                       : out.begin() + static_cast<std::ptrdiff_t>(
                                         StableHash(mSelf, StableHash(aBudget)) % out.size());
  std::rotate(out.begin(), first, out.end());
  const auto now = mClock.Now();
  std::stable_partition(out.begin(), out.end(), [&](const std::string& aInstance) {
    const auto it = mUnresponsiveUntil.find(aInstance);
    return it == mUnresponsiveUntil.end() || it->second <= now;
  });
  return out;
}

bool BudgetKeepers::IsKeeper(const std::string& aBudget)
{
  const auto& keepers = KeepersOf(aBudget);
  return std::find(keepers.begin(), keepers.end(), mSelf) != keepers.end();
}

void BudgetKeepers::OnUnresponsive(const std::string& aInstance)
{
  const auto now = mClock.Now();
  std::erase_if(mUnresponsiveUntil, [&](const auto& it) { return it.second <= now; });
  mUnresponsiveUntil[aInstance] = now + kUnresponsiveTime;
}

} // namespace gentianloom
