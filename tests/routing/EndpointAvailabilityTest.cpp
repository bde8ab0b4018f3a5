#include "gentianloom/routing/EndpointAvailability.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace gentianloom {

class EndpointAvailabilityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointAvailabilityTest);
  CPPUNIT_TEST(TestSourcePrecedence);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSourcePrecedence()
  {
    constexpr auto kAvailable = AvailabilityState::Available;
    constexpr auto kLeaving = AvailabilityState::Leaving;
    constexpr auto kList = AvailabilitySource::List;
    constexpr auto kReport = AvailabilitySource::Report;
    constexpr auto kExchange = AvailabilitySource::Exchange;
    constexpr auto kPeer = AvailabilitySource::Peer;
    struct Event
    {
      int mAtSecond;
      AvailabilitySource mSource;
      AvailabilityState mState;
    };
    struct Row
    {
      std::string mName;
      std::vector<Event> mEvents;
      int mCheckedAtSecond;
      bool mIsAvailable;
    };
    const Row rows[] = {
      { "no observation", {}, 0, false },
      { "new entry in the list", { { 0, kList, kAvailable } }, 3, true },
      { "a repeated list entry is not a new observation",
        { { 0, kList, kAvailable }, { 4, kList, kAvailable } },
        5,
        false },
      { "a report is a new observation",
        { { 0, kList, kAvailable }, { 4, kReport, kAvailable } },
        7,
        true },
      { "the last report is too old", { { 0, kReport, kAvailable } }, 4, false },
      { "an accepted request is an observation", { { 0, kExchange, kAvailable } }, 3, true },
      { "an older observation of a peer changes nothing",
        { { 2, kReport, kAvailable }, { 1, kPeer, kAvailable } },
        5,
        true },
      { "a leaving report overrides the list",
        { { 0, kReport, kLeaving }, { 1, kList, kAvailable } },
        1,
        false },
      { "leaving in the list overrides reports",
        { { 0, kList, kLeaving }, { 1, kReport, kAvailable } },
        1,
        false },
      { "the list retracts its own statement",
        { { 0, kList, kLeaving }, { 1, kList, kAvailable } },
        2,
        true },
      { "the list cannot retract a report's statement",
        { { 0, kList, kAvailable },
          { 1, kReport, kLeaving },
          { 2, kList, kLeaving },
          { 3, kList, kAvailable } },
        3,
        false },
      { "a later report retracts a report's statement",
        { { 0, kReport, kLeaving }, { 1, kReport, kAvailable } },
        1,
        true },
      { "an older report that arrives late retracts nothing",
        { { 2, kReport, kLeaving }, { 1, kReport, kAvailable } },
        2,
        false },
      { "an accepted request does not retract a report's statement",
        { { 1, kReport, kLeaving }, { 2, kExchange, kAvailable } },
        2,
        false },
      { "a later report retracts a refusal",
        { { 1, kExchange, kLeaving }, { 2, kReport, kAvailable } },
        2,
        true },
      { "a report does not retract a peer's statement",
        { { 0, kPeer, kLeaving }, { 1, kReport, kAvailable } },
        1,
        false },
      { "a peer's statement expires",
        { { 0, kPeer, kLeaving }, { 61, kReport, kAvailable } },
        61,
        true },
      { "a peer retracts its statement",
        { { 0, kPeer, kLeaving }, { 1, kPeer, kAvailable } },
        1,
        true },
    };
    const TimePoint start{ std::chrono::hours(1) };
    for (const auto& row : rows) {
      EndpointAvailability availability;
      for (const auto& it : row.mEvents) {
        availability.Update(it.mSource, it.mState, start + std::chrono::seconds(it.mAtSecond));
      }
      const auto now = start + std::chrono::seconds(row.mCheckedAtSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, row.mIsAvailable, availability.IsAvailable(now, Millis(3'000)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointAvailabilityTest);

} // namespace gentianloom
