#include "gentianloom/budget/GrantPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class GrantPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GrantPolicyTest);
  CPPUNIT_TEST(TestTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTargets()
  {
    struct Row
    {
      std::string mPolicy;
      GrantInput mInput; // left, demand, largest, holders
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
      // left, demand, largest, holders, free, observed, steady
      { "outage", { 1'000, 0.0, 0, 2, 0, 0.0, 60 }, 75 },        // a part before demand is known
      { "outage", { 1'000'000, 5.0, 0, 2, 0, 1.0, 60 }, 300 },   // the window's demand
      { "outage", { 1'000'000, 5.0, 300, 2, 0, 1.0, 60 }, 750 }, // few large requests vary more
      { "outage", { 1'000'000, 5.0, 0, 2, 0, 1.0, 4 }, 30 },     // an outage was seconds ago
      { "outage", { 100, 5.0, 0, 2, 30, 1.0, 60 }, 48 },         // bounded by the equal share
      { "outage", { -50, 5.0, 0, 2, 0, 1.0, 60 }, 0 },
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantPolicyTest);

} // namespace gentianloom
