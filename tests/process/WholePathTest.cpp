#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

/// A request from end to end through real processes, held against the engines' journals.
class WholePathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WholePathTest);
  CPPUNIT_TEST(TestChat);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestChat()
  {
    const Fleet fleet(FleetOptions{});
    fleet.ApplyEverywhere(ReadBragaExample());
    std::int64_t total = 0;
    for (const bool stream : { true, false }) {
      for (const auto& router : fleet.Routers()) {
        ChatCall call;
        call.mStream = stream;
        const auto answer = CallChat(router.mAddress, call);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody.dump(), 200, answer.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.mOutcome);
        CPPUNIT_ASSERT(answer.mText.ends_with("w16 "));
        total += answer.mBody["usage"]["total_tokens"].get<std::int64_t>();
      }
    }
    std::int64_t ran = 0;
    const auto journal = fleet.JournalEntries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, journal.size());
    for (const auto& it : journal) {
      CPPUNIT_ASSERT_EQUAL(std::string("culture-department"),
                           it["organisation"].get<std::string>());
      ran += it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    CPPUNIT_ASSERT_EQUAL(ran, total);
    const bool charged = WaitFor(
      [&] {
        const auto view = fleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
        return view.value("spent", std::int64_t{ 0 }) == ran;
      },
      Millis(10'000));
    CPPUNIT_ASSERT_MESSAGE("the spend is not what the engines ran", charged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

} // namespace gentianloom::testing
