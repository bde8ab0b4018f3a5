#include "gentianloom/configuration/Rollback.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace gentianloom {

Configuration MakeRollbackConfiguration(const Configuration& aInForce, const Configuration& aTarget)
{
  std::map<std::string_view, Tokens> prepaid;
  for (const auto& it : aInForce.mBudgets) {
    prepaid.emplace(it.mName, it.mPrepaidTokens);
  }
  auto out = aTarget;
  for (auto& it : out.mBudgets) {
    const auto found = prepaid.find(it.mName);
    if (found != prepaid.end()) {
      it.mPrepaidTokens = std::max(it.mPrepaidTokens, found->second);
    }
  }
  return out;
}

} // namespace gentianloom
