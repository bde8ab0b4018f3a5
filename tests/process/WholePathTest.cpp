#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

/**
 * Requests from end to end through real processes, compared with the engines' journals.
 *
 * Guards against incomplete responses and against spend that differs from what the engines ran.
 */
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
    std::int64_t reportedTokens = 0;
    for (const bool stream : { true, false }) {
      for (const auto& router : fleet.Routers()) {
        ChatCall call;
        call.mStream = stream;
        const auto response = CallChat(router.mAddress, call);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.mBody.dump(), 200, response.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.mOutcome);
        CPPUNIT_ASSERT(response.mText.ends_with("w16 "));
        reportedTokens += response.mBody["usage"]["total_tokens"].get<std::int64_t>();
      }
    }
    std::int64_t ranTokens = 0;
    const auto journal = fleet.JournalEntries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, journal.size());
    for (const auto& it : journal) {
      CPPUNIT_ASSERT_EQUAL(std::string("culture-department"),
                           it["organisation"].get<std::string>());
      ranTokens +=
        it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    CPPUNIT_ASSERT_EQUAL(ranTokens, reportedTokens);
    const bool isCharged = WaitFor(
      [&] {
        const auto view = fleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
        return view.value("spent", std::int64_t{ 0 }) == ranTokens;
      },
      Millis(10'000));
    CPPUNIT_ASSERT_MESSAGE("the spend differs from what the engines ran", isCharged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

} // namespace gentianloom::testing
