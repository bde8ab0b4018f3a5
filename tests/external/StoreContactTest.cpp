#include "gentianloom/external/StoreContact.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom {

class StoreContactTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreContactTest);
  CPPUNIT_TEST(TestOutages);
  CPPUNIT_TEST_SUITE_END();

  enum class Event
  {
    Call,
    Answer,
    Failure
  };

  struct Step
  {
    Millis mAt;
    Event mEvent;
  };

  static void Apply(StoreContact& aContact, const Step& aStep, TimePoint aStart)
  {
    switch (aStep.mEvent) {
      case Event::Call:
        aContact.OnCall(aStart + aStep.mAt);
        return;
      case Event::Answer:
        aContact.OnAnswer(aStart + aStep.mAt);
        return;
      case Event::Failure:
        aContact.OnFailure();
        return;
    }
  }

public:
  // A watch that was cut several times counted as an outage although other calls were answered, and
  // a call that outlasted an outage hid it.
  void TestOutages()
  {
    constexpr auto kCall = Event::Call;
    constexpr auto kAnswer = Event::Answer;
    constexpr auto kFailure = Event::Failure;
    struct Row
    {
      std::string mName;
      std::vector<Step> mSteps;
      Millis mAskedAt;
      bool mHadOutage; ///< within 1.5 s
    };
    const Row rows[] = {
      { "no call", {}, Millis(9'000), false },
      { "idle between two calls",
        { { Millis(0), kCall }, { Millis(5), kAnswer }, { Millis(9'000), kCall } },
        Millis(9'005),
        false },
      { "a watch that waits",
        { { Millis(0), kCall }, { Millis(1'700), kAnswer } },
        Millis(1'700),
        false },
      { "a watch that is cut three times, the renewals of a lease answered",
        { { Millis(0), kCall },
          { Millis(900), kCall },
          { Millis(905), kAnswer },
          { Millis(1'000), kFailure },
          { Millis(1'040), kCall },
          { Millis(1'800), kCall },
          { Millis(1'805), kAnswer },
          { Millis(1'900), kFailure },
          { Millis(1'980), kCall },
          { Millis(2'700), kCall },
          { Millis(2'705), kAnswer },
          { Millis(2'800), kFailure },
          { Millis(2'960), kCall },
          { Millis(3'300), kAnswer } },
        Millis(3'300),
        false },
      { "a watch that is cut three times, and no other call",
        { { Millis(0), kCall },
          { Millis(900), kFailure },
          { Millis(940), kCall },
          { Millis(1'800), kFailure },
          { Millis(1'880), kCall },
          { Millis(2'600), kFailure },
          { Millis(2'760), kCall },
          { Millis(3'000), kAnswer } },
        Millis(3'000),
        true },
      { "all calls fail at once",
        { { Millis(0), kCall },
          { Millis(5), kAnswer },
          { Millis(100), kCall },
          { Millis(100), kFailure },
          { Millis(1'100), kCall },
          { Millis(1'100), kFailure },
          { Millis(2'200), kCall },
          { Millis(2'205), kAnswer } },
        Millis(2'205),
        true },
      { "shorter than an outage",
        { { Millis(0), kCall },
          { Millis(5), kAnswer },
          { Millis(100), kCall },
          { Millis(100), kFailure },
          { Millis(1'900), kCall },
          { Millis(1'905), kAnswer } },
        Millis(1'905),
        false },
      { "it lasts", { { Millis(0), kCall }, { Millis(900), kFailure } }, Millis(2'000), true },
      { "a call that was sent into it is answered after it",
        { { Millis(0), kCall },
          { Millis(5), kAnswer },
          { Millis(100), kCall },
          { Millis(2'400), kAnswer } },
        Millis(2'400),
        true },
      { "its grace period has ended",
        { { Millis(0), kCall },
          { Millis(900), kFailure },
          { Millis(2'500), kCall },
          { Millis(2'505), kAnswer } },
        Millis(4'005),
        false },
    };
    const TimePoint start{ std::chrono::hours(1) };
    for (const auto& row : rows) {
      StoreContact contact;
      for (const auto& it : row.mSteps) {
        Apply(contact, it, start);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, row.mHadOutage, contact.HadOutageWithin(Millis(1'500), start + row.mAskedAt));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContactTest);

} // namespace gentianloom
