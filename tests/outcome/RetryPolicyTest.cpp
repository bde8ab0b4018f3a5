#include "gentianloom/outcome/RetryPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom::testing {

class RetryPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryPolicyTest);
  CPPUNIT_TEST(TestDecision);
  CPPUNIT_TEST(TestBudget);
  CPPUNIT_TEST(TestFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestDecision()
  {
    using enum RetryAction;
    constexpr AttemptFailure kProved{ true, false };
    constexpr AttemptFailure kBroke{ false, false };
    constexpr AttemptFailure kShown{ false, true };
    struct Row
    {
      std::string mName;
      bool mRepeatable;
      bool mBudget;
      Millis mLeft;
      std::vector<AttemptFailure> mFailures;
      RetryAction mLast;
    };
    const Row rows[] = {
      { "refused", true, true, Millis(1), { kProved }, Retry },
      { "broke before the first token", true, true, Millis(1), { kBroke }, Retry },
      { "broke after a token", true, true, Millis(1), { kShown }, ReportUnknown },
      { "must not repeat, not sent", false, true, Millis(1), { kProved }, Retry },
      { "must not repeat, sent", false, true, Millis(1), { kBroke }, ReportUnknown },
      { "must not repeat, sent on the second",
        false,
        true,
        Millis(1),
        { kProved, kBroke },
        ReportUnknown },
      { "all refused", true, true, Millis(1), { kProved, kProved, kProved }, ReportNotRun },
      { "one broke", true, true, Millis(1), { kProved, kBroke, kProved }, ReportUnknown },
      { "deadline", true, true, Millis(0), { kProved }, ReportNotRun },
      { "deadline, broke", true, true, Millis(0), { kBroke }, ReportUnknown },
      { "budget used up", true, false, Millis(1), { kProved }, ReportNotRun },
      { "budget used up, broke", true, false, Millis(1), { kBroke }, ReportUnknown },
    };
    const TimePoint now{};
    for (const auto& row : rows) {
      RetryBudget budget(0.1, row.mBudget ? 10 : 0);
      RetryDecision decision(row.mRepeatable, now + row.mLeft);
      auto last = Retry;
      for (const auto& it : row.mFailures) {
        last = decision.OnFailure(it, now, budget);
      }
      CPPUNIT_ASSERT_MESSAGE(row.mName, last == row.mLast);
    }
  }

  void TestBudget()
  {
    RetryBudget budget(0.1, 5);
    int granted = 0;
    for (int n = 0; n < 1'000; ++n) {
      budget.OnRequest();
      granted += budget.TryTake() ? 1 : 0;
      granted += budget.TryTake() ? 1 : 0;
    }
    CPPUNIT_ASSERT(granted >= 100 && granted <= 106);
  }

  // Load pattern: all instances retry at once. Beyond the share the fleet stays within its slack.
  void TestFleet()
  {
    constexpr double kSlack = 186;
    for (const std::size_t instances : { 1U, 7U, 8U, 75U, 720U }) {
      double granted = 0;
      for (std::size_t n = 0; n < instances; ++n) {
        RetryBudget budget(0.1, ComputeRetryBurst(kSlack, 1));
        budget.SetBurst(ComputeRetryBurst(kSlack, instances));
        while (budget.TryTake()) {
          ++granted;
        }
      }
      const auto most = std::max(kSlack / 2, static_cast<double>(instances));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(instances), granted <= most);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

} // namespace gentianloom::testing
