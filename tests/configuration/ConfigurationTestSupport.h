#ifndef GENTIANLOOM_TESTS_CONFIGURATION_CONFIGURATION_TEST_SUPPORT_H
#define GENTIANLOOM_TESTS_CONFIGURATION_CONFIGURATION_TEST_SUPPORT_H

#include "gentianloom/configuration/ConfigurationStore.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"

#include <functional>

namespace gentianloom::testing {

/// A configuration with the given number of organisations. Each has a budget of its own, and they
/// belong to the teams north and south in turn.
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

/// A key-value service whose outages and lost responses a test controls.
class FaultyStore final : public standin::ForwardingStore
{
public:
  explicit FaultyStore(KeyValueStore& aStore)
    : ForwardingStore(aStore)
  {
  }

  int mLostResponses = 0; ///< number of head commits that take effect but return no response
  bool mIsDown = false;
  bool mGoesDownAfterCommit = false;       ///< after the next head commit, whose response is lost
  std::function<void()> mBeforeHeadCommit; ///< called once, before the next commit of the head
  int mReads = 0;
  int mCommits = 0;

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    ++mReads;
    if (mIsDown) {
      return MakeError(ErrorCode::PlatformUnavailable, aStep, "store", "down");
    }
    return ForwardingStore::Range(aKey, aIsPrefix, aStep);
  }
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override
  {
    ++mCommits;
    CommitResult noResponse;
    noResponse.mError = MakeError(ErrorCode::PlatformUnavailable, aStep, "store", "no response");
    if (mIsDown) {
      return noResponse;
    }
    if (aStep == Step::ApplicationCommit && mBeforeHeadCommit) {
      std::exchange(mBeforeHeadCommit, nullptr)();
    }
    auto answer = ForwardingStore::Commit(aTransaction, aStep);
    if (aStep == Step::ApplicationCommit && mGoesDownAfterCommit) {
      mIsDown = true;
      return noResponse;
    }
    return aStep == Step::ApplicationCommit && mLostResponses-- > 0 ? noResponse : answer;
  }
};

/// A request of one operator, with a unique apply id.
inline ApplyRequest MakeApplyRequest(const std::string& aOperator,
                                     std::optional<std::int64_t> aBaseVersion = {})
{
  static int number = 0;
  ApplyRequest out;
  out.mOperator = aOperator;
  out.mApplyId = "apply-" + std::to_string(++number);
  out.mBaseVersion = aBaseVersion;
  return out;
}

} // namespace gentianloom::testing

#endif
