#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/AccessControl.h"
#include "gentianloom/report/Audit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class AccessControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AccessControlTest);
  CPPUNIT_TEST(TestCheckMayApply);
  CPPUNIT_TEST(TestAuditKeepsNewestEntries);
  CPPUNIT_TEST_SUITE_END();

public:
  /// A team operator must not change or see entries of other teams, also not by moving an
  /// organisation between teams or by using another team's budget.
  void TestCheckMayApply()
  {
    // Even organisations belong to the team north, odd ones to south.
    const auto before = SampleConfiguration(4);
    struct Row
    {
      std::string_view mName;
      std::function<void(Configuration&)> mChange;
      std::string_view mRefusedEntry; ///< named in the error; empty: the team north may apply
    };
    const Row rows[] = {
      { "nothing", [](auto&) {}, "" },
      { "own", [](auto& it) { it.mOrganisations[0].mWeight = 2; }, "" },
      { "own budget", [](auto& it) { it.mBudgets[2].mPrepaidTokens = 2'000; }, "" },
      { "new own",
        [](auto& it) {
          it.mOrganisations.push_back({ "new", "north", "new", {}, 1, 0 });
          it.mBudgets.push_back({ "new", 5 });
        },
        "" },
      { "foreign", [](auto& it) { it.mOrganisations[1].mWeight = 2; }, "organisations/org-1" },
      { "foreign budget", [](auto& it) { it.mBudgets[1].mPrepaidTokens = 0; }, "budgets/budget-1" },
      { "takes an organisation over",
        [](auto& it) { it.mOrganisations[1].mTeam = "north"; },
        "org-1" },
      { "gives an organisation away",
        [](auto& it) { it.mOrganisations[0].mTeam = "south"; },
        "org-0" },
      { "uses a foreign budget",
        [](auto& it) { it.mOrganisations[0].mBudget = "budget-1"; },
        "budgets/budget-1" },
      { "unused budget",
        [](auto& it) {
          it.mBudgets.push_back({ "x", 1 });
        },
        "budgets/x" },
      { "model", [](auto& it) { it.mModels[0].mVersion = "2"; }, "models/m" },
      { "objectives", [](auto& it) { it.mObjectives.mFirstTokenMs = 1; }, "objectives" },
    };
    const OperatorSettings owner{ "o", "", OperatorRole::Owner, {} };
    const OperatorSettings team{ "t", "", OperatorRole::Team, { "north" } };
    const OperatorSettings reader{ "r", "", OperatorRole::Reader, { "north" } };
    for (const auto& row : rows) {
      auto after = before;
      row.mChange(after);
      const std::string name(row.mName);
      CPPUNIT_ASSERT_MESSAGE(name, !CheckMayApply(owner, before, after));
      CPPUNIT_ASSERT_MESSAGE(name, CheckMayApply(reader, before, after).has_value());
      const auto error = CheckMayApply(team, before, after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.mRefusedEntry.empty(), !error.has_value());
      CPPUNIT_ASSERT_MESSAGE(name,
                             !error || error->mText.find(row.mRefusedEntry) != std::string::npos);
      const auto seen = FilterVisible(team, Compare(before, after), before, after);
      CPPUNIT_ASSERT_MESSAGE(name, FormatSummary(seen).find("org-1") == std::string::npos);
    }
  }

  /// The audit log reuses its slots: after more entries than slots, the oldest must be gone and the
  /// rest must be in order.
  void TestAuditKeepsNewestEntries()
  {
    const ManualClock clock;
    standin::MemoryStore store(clock);
    for (std::int64_t n = 0; n < kAuditSlots + 3; ++n) {
      store.Commit(
        { {}, { MakeAuditWrite({ Millis(n), "ana", "configuration", "apply", "x" }, n) } },
        Step::ApplicationCommit);
    }
    const auto entries = ReadAudit(store).value();
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kAuditSlots), entries.size());
    CPPUNIT_ASSERT(entries.front().mWallTime == Millis(3));
    CPPUNIT_ASSERT(entries.back().mWallTime == Millis(kAuditSlots + 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessControlTest);

} // namespace gentianloom::testing
