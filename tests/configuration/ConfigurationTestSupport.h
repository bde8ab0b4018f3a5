#ifndef GENTIANLOOM_TESTS_CONFIGURATION_CONFIGURATION_TEST_SUPPORT_H
#define GENTIANLOOM_TESTS_CONFIGURATION_CONFIGURATION_TEST_SUPPORT_H

#include "gentianloom/configuration/ConfigurationStore.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"

#include <functional>

namespace gentianloom::testing {

/// A configuration with so many organisations, each with a budget, of two teams in turn.
inline Configuration SampleConfiguration(int aOrganisations)
{
  Configuration out;
  out.mDeployment = "sample";
  out.mTeams = { { "north" }, { "south" } };
  out.mModels = { { "m", "1", {}, 100, 0 } };
  for (int n = 0; n < aOrganisations; ++n) {
    const auto number = std::to_string(n);
    out.mOrganisations.push_back(
      { "org-" + number, n % 2 == 0 ? "north" : "south", "budget-" + number, {}, 1, 0 });
    out.mBudgets.push_back({ "budget-" + number, 1'000 });
  }
  return out;
}

/// A key-value service that a test can make stale, silent or forgetful of answers.
class FaultyStore final : public standin::ForwardingStore
{
public:
  explicit FaultyStore(KeyValueStore& aStore)
    : ForwardingStore(aStore)
  {
  }

  int mLostAnswers = 0; ///< commits that take effect without an answer
  bool mDown = false;
  bool mDownAfterCommit = false;           ///< goes down with the next commit, which takes effect
  std::function<void()> mBeforeHeadCommit; ///< called once, before a commit that moves the head
  int mReads = 0;
  int mCommits = 0;

  Result<RangeAnswer> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    ++mReads;
    if (mDown) {
      return MakeError(ErrorCode::PlatformUnavailable, aStep, "store", "down");
    }
    return ForwardingStore::Range(aKey, aIsPrefix, aStep);
  }
  CommitAnswer Commit(const Transaction& aTransaction, Step aStep) override
  {
    ++mCommits;
    CommitAnswer lost;
    lost.mError = MakeError(ErrorCode::PlatformUnavailable, aStep, "store", "no answer");
    if (mDown) {
      return lost;
    }
    if (aStep == Step::ApplicationCommit && mBeforeHeadCommit) {
      std::exchange(mBeforeHeadCommit, nullptr)();
    }
    auto answer = ForwardingStore::Commit(aTransaction, aStep);
    if (aStep == Step::ApplicationCommit && mDownAfterCommit) {
      mDown = true;
      return lost;
    }
    return aStep == Step::ApplicationCommit && mLostAnswers-- > 0 ? lost : answer;
  }
};

/// An order of one operator.
inline ApplyRequest MakeApplyRequest(const std::string& aOperator,
                                     std::optional<std::int64_t> aBase = {})
{
  static int number = 0;
  ApplyRequest out;
  out.mOperator = aOperator;
  out.mApplyId = "order-" + std::to_string(++number);
  out.mBaseVersion = aBase;
  return out;
}

} // namespace gentianloom::testing

#endif
