#include "gentianloom/outcome/RetryPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom::testing {

class RetryPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryPolicyTest);
  CPPUNIT_TEST(TestDecision);
  CPPUNIT_TEST(TestRetryRatio);
  CPPUNIT_TEST(TestBudgetsOfServices);
  CPPUNIT_TEST(TestFleetBurst);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestDecision()
  {
    using enum RetryAction;
    constexpr AttemptFailure kNotRun{ true, false };
    constexpr AttemptFailure kMayHaveRun{ false, false };
    constexpr AttemptFailure kPartlyForwarded{ false, true };
    struct Row
    {
      std::string mName;
      bool mIsIdempotent;
      bool mHasBudget;
      Millis mTimeLeft;
      std::vector<AttemptFailure> mFailures;
      RetryAction mExpected;
    };
    const Row rows[] = {
      { "not run", true, true, Millis(1), { kNotRun }, Retry },
      { "failed before the first token", true, true, Millis(1), { kMayHaveRun }, Retry },
      { "failed after a token", true, true, Millis(1), { kPartlyForwarded }, ReportUnknown },
      { "not idempotent, not sent", false, true, Millis(1), { kNotRun }, Retry },
      { "not idempotent, sent", false, true, Millis(1), { kMayHaveRun }, ReportUnknown },
      { "not idempotent, sent by the second attempt",
        false,
        true,
        Millis(1),
        { kNotRun, kMayHaveRun },
        ReportUnknown },
      { "no attempt ran", true, true, Millis(1), { kNotRun, kNotRun, kNotRun }, ReportNotRun },
      { "one attempt may have run",
        true,
        true,
        Millis(1),
        { kNotRun, kMayHaveRun, kNotRun },
        ReportUnknown },
      { "deadline passed", true, true, Millis(0), { kNotRun }, ReportNotRun },
      { "deadline passed, may have run", true, true, Millis(0), { kMayHaveRun }, ReportUnknown },
      { "retry budget empty", true, false, Millis(1), { kNotRun }, ReportNotRun },
      { "retry budget empty, may have run",
        true,
        false,
        Millis(1),
        { kMayHaveRun },
        ReportUnknown },
    };
    const TimePoint now{};
    for (const auto& row : rows) {
      RetryBudget budget(0.1, row.mHasBudget ? 10 : 0);
      RetryDecision decision(row.mIsIdempotent, now + row.mTimeLeft);
      auto action = Retry;
      for (const auto& it : row.mFailures) {
        action = decision.OnFailure(it, now, budget);
      }
      CPPUNIT_ASSERT_MESSAGE(row.mName, action == row.mExpected);
    }
  }

  // If every request fails, at most a tenth of the requests is retried, plus the burst.
  void TestRetryRatio()
  {
    RetryBudget budget(0.1, 5);
    int grantedRetries = 0;
    for (int n = 0; n < 1'000; ++n) {
      budget.OnRequest();
      grantedRetries += budget.TryTake() ? 1 : 0;
      grantedRetries += budget.TryTake() ? 1 : 0;
    }
    CPPUNIT_ASSERT(grantedRetries >= 100 && grantedRetries <= 106);
  }

  // Requests for one service must not pay for retries at another one.
  void TestBudgetsOfServices()
  {
    constexpr double kRatio = 0.1;
    constexpr double kBurst = 5;
    constexpr int kReads = 100;
    constexpr int kSendsPerRead = 9;
    RetryBudgets budgets(kRatio, 1);
    CPPUNIT_ASSERT(budgets.Of("send").TryTake());
    CPPUNIT_ASSERT(!budgets.Of("send").TryTake());
    budgets.SetBurst(kBurst);
    int grantedRetries = 0;
    for (int n = 0; n < kReads; ++n) {
      for (int k = 0; k < kSendsPerRead; ++k) {
        budgets.Of("send").OnRequest();
      }
      budgets.Of("read").OnRequest();
      grantedRetries += budgets.Of("read").TryTake() ? 1 : 0;
    }
    CPPUNIT_ASSERT(grantedRetries >= kRatio * kReads);
    CPPUNIT_ASSERT(grantedRetries <= kRatio * kReads + kBurst + 1);
    int remainingRetries = 0;
    while (budgets.Of("send").TryTake()) {
      ++remainingRetries;
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kBurst), remainingRetries);
  }

  // Load pattern: all instances use up their burst at once. In total they must stay within half of
  // the fleet's burst, or one retry per instance if that is more.
  void TestFleetBurst()
  {
    constexpr double kFleetBurst = 186;
    for (const std::size_t instances : { 1U, 7U, 8U, 75U, 720U }) {
      double grantedRetries = 0;
      for (std::size_t n = 0; n < instances; ++n) {
        RetryBudget budget(0.1, ComputeRetryBurst(kFleetBurst, 1));
        budget.SetBurst(ComputeRetryBurst(kFleetBurst, instances));
        while (budget.TryTake()) {
          ++grantedRetries;
        }
      }
      const auto maxGranted = std::max(kFleetBurst / 2, static_cast<double>(instances));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(instances), grantedRetries <= maxGranted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

} // namespace gentianloom::testing
