#include "gentianloom/budget/GrantPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class GrantPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GrantPolicyTest);
  CPPUNIT_TEST(TestTargets);
  CPPUNIT_TEST(TestReturnThreshold);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTargets()
  {
    struct Row
    {
      std::string mPolicy;
      GrantInput mInput; // unallocated, demand, largest request, holders, ...
      Tokens mTarget;
    };
    const Row rows[] = {
      { "fixed", { 10, 5.0, 3, 2 }, 1'000 },
      { "demand", { 1'000'000, 5.0, 3, 2 }, 300 },
      { "demand", { 1'000'000, 0.0, 70, 2 }, 140 },
      { "demand", { 0, 5.0, 3, 2 }, 300 },
      { "shrinking", { 1'000'000, 5.0, 3, 2 }, 300 },
      { "shrinking", { 800, 5.0, 3, 2 }, 200 },
      { "shrinking", { -50, 5.0, 3, 2 }, 0 },
      // ..., free, observed fraction, seconds since an outage, prepaid, others' unspent and demand
      { "outage", { 1'000, 0.0, 0, 2, 0, 0.0, 60 }, 65 }, // part of an equal share: no demand known
      { "outage", { 1'000'000, 5.0, 0, 2, 0, 1.0, 60 }, 300 },   // demand of the window
      { "outage", { 1'000'000, 5.0, 300, 2, 0, 1.0, 60 }, 750 }, // few large requests
      { "outage", { 1'000'000, 5.0, 0, 2, 0, 1.0, 4 }, 30 },     // outage 4 s ago
      { "outage", { -50, 5.0, 0, 2, 0, 1.0, 60 }, 0 },
      // Limited by the router's share of the demand: all of it, half of it.
      { "outage", { 100, 5.0, 0, 2, 30, 1.0, 60, 500, 0, 0.0 }, 78 },
      { "outage", { 100, 5.0, 0, 2, 30, 1.0, 60, 500, 30, 5.0 }, 42 },
      // An equal share is assumed before demand is observed, and is the least share after that.
      { "outage", { 100, 5.0, 0, 2, 30, 0.0, 60, 500, 0, 0.0 }, 34 },
      { "outage", { 100, 0.5, 0, 4, 30, 1.0, 60, 500, 30, 500.0 }, 20 },
      // Pooled when less than a tenth of the budget is unspent; not pooled with 11 percent.
      { "outage", { 60, 100.0, 40, 4, 20, 1.0, 60, 1'000, 10, 100.0 }, 50 },
      { "outage", { 60, 100.0, 40, 4, 20, 1.0, 60, 1'000, 30, 100.0 }, 28 },
    };
    for (const auto& row : rows) {
      BudgetSettings settings;
      settings.mPolicy = row.mPolicy;
      settings.mFixedTokens = 1'000;
      settings.mDemandWindow = Millis(60'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mPolicy, row.mTarget, GrantPolicy::Create(settings)->Target(row.mInput));
    }
  }

  // An organisation's callers move to another instance. Unless the first instance returns its
  // tokens, requests on the other one are refused although the budget is not spent.
  void TestReturnThreshold()
  {
    struct Row
    {
      std::string mName;
      GrantInput mInput;
      bool mReturns;
    };
    const Row rows[] = {
      { "callers use this instance",
        { 0, 1'000.0, 500, 2, 6'000, 1.0, 60, 100'000, 12'000, 1'000.0 },
        false },
      { "callers have left", { 0, 10.0, 500, 2, 9'000, 1.0, 60, 100'000, 9'000, 1'000.0 }, true },
      { "callers have left, large fleet with plenty of unallocated tokens",
        { 9'000, 10.0, 500, 13, 9'000, 1.0, 60, 100'000, 9'000, 1'000.0 },
        false },
      { "pooled budget", { 0, 100.0, 500, 2, 4'000, 1.0, 60, 100'000, 0, 100.0 }, true },
      { "pooled budget, few free tokens", { 0, 0.0, 0, 2, 49, 1.0, 60, 100'000, 0, 0.0 }, false },
    };
    for (const auto& row : rows) {
      BudgetSettings settings;
      settings.mPolicy = "outage";
      settings.mDemandWindow = Millis(8'000);
      settings.mMinKeptTime = Millis(0);
      const auto policy = GrantPolicy::Create(settings);
      const auto kept = policy->TokensToKeep(row.mInput);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, row.mReturns, row.mInput.mFree > policy->ReturnThreshold(row.mInput, kept));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantPolicyTest);

} // namespace gentianloom
