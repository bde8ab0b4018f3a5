#include "gentianloom/routing/AdmissionController.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

QueuedRequest MakeRequest(std::uint64_t aId,
                          const std::string& aOrganisation,
                          std::int64_t aCost = 100,
                          seconds aDeadline = seconds(60),
                          std::int64_t aWeight = 1,
                          std::int64_t aPriority = 0)
{
  return { aId, aOrganisation, aWeight, aPriority, aCost, kStart, kStart + aDeadline };
}

} // namespace

class AdmissionControllerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdmissionControllerTest);
  CPPUNIT_TEST(TestShares);
  CPPUNIT_TEST(TestOrder);
  CPPUNIT_TEST(TestFullQueueEvicts);
  CPPUNIT_TEST(TestEarlyRefusal);
  CPPUNIT_TEST(TestExpiredRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestShares()
  {
    struct Row
    {
      std::int64_t mCostA, mCostB, mWeightA, mWeightB, mPriorityB;
      double mShareA; // share of the cost served while both wait
    };
    // The last row shows that a priority does not change the share.
    const Row rows[] = {
      { 100, 100, 1, 1, 0, 0.5 },   { 100, 100, 3, 1, 0, 0.75 }, { 1'000, 100, 1, 1, 0, 0.5 },
      { 100, 1'000, 1, 4, 0, 0.2 }, { 100, 100, 1, 1, 5, 0.5 },
    };
    for (const auto& row : rows) {
      FairQueue queue(100'000);
      std::uint64_t id = 0;
      for (int n = 0; n < 20'000; ++n) {
        queue.Push(MakeRequest(++id, "a", row.mCostA, seconds(60), row.mWeightA));
        queue.Push(MakeRequest(++id, "b", row.mCostB, seconds(60), row.mWeightB, row.mPriorityB));
      }
      double costA = 0;
      double totalCost = 0;
      while (totalCost < 1'000'000) {
        const auto it = queue.Peek().value();
        queue.Pop();
        totalCost += static_cast<double>(it.mCost);
        costA += it.mOrganisation == "a" ? static_cast<double>(it.mCost) : 0;
      }
      const double tolerance =
        row.mPriorityB > 0 ? 0.11 : 0.01; // allows for the bounded head start
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.mShareA, costA / totalCost, tolerance);
    }
  }

  void TestOrder()
  {
    FairQueue queue(10);
    queue.Push(MakeRequest(1, "a", 100, seconds(50)));
    queue.Push(MakeRequest(2, "a", 100, seconds(20)));
    queue.Push(MakeRequest(3, "b", 100, seconds(90), 1, 1)); // a priority goes first in a burst
    queue.Push(MakeRequest(4, "a", 100, seconds(30)));
    CPPUNIT_ASSERT(queue.Remove(4) && !queue.Remove(4));
    for (const std::uint64_t id : { 3, 2, 1 }) {
      CPPUNIT_ASSERT_EQUAL(id, queue.Peek().value().mId);
      queue.Pop();
    }
    CPPUNIT_ASSERT(!queue.Peek() && queue.Size() == 0);
  }

  void TestFullQueueEvicts()
  {
    FairQueue queue(4);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      CPPUNIT_ASSERT(
        !queue.Push(MakeRequest(id, "large", 100, seconds(60 - static_cast<int>(id)))));
    }
    // Evicts the request with the latest deadline of the organisation with the largest backlog.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, queue.Push(MakeRequest(5, "small")).value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, queue.Push(MakeRequest(6, "large")).value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, queue.Size());
  }

  void TestEarlyRefusal()
  {
    AdmissionController admission{ RoutingSettings{} };
    admission.OnCompleted("m", seconds(1));
    auto now = kStart;
    std::uint64_t id = 0;
    // The pool serves 1,000 tokens per second, which is 10 requests.
    for (int n = 0; n < 50; ++n) {
      CPPUNIT_ASSERT(
        admission.Enqueue("m", MakeRequest(++id, "large", 100, seconds(5)), now).empty());
    }
    for (int n = 0; n < 30; ++n) {
      now += Millis(100);
      admission.Pop("m", now);
    }
    struct Row
    {
      std::string mOrganisation;
      int mDeadline; // seconds after the start, of which 3 have passed
      bool mRefused;
    };
    // 20 requests of "large" wait, for 2 s; the first request of "small" is served next.
    const Row rows[] = {
      { "large", 5, true }, { "large", 60, false }, { "small", 5, false }, { "small", 3, true }
    };
    for (const auto& row : rows) {
      const auto refused = admission.Enqueue(
        "m", MakeRequest(++id, row.mOrganisation, 100, seconds(row.mDeadline)), now);
      CPPUNIT_ASSERT_EQUAL(row.mRefused, !refused.empty());
      CPPUNIT_ASSERT(refused.empty() || refused.front().mReason == ShedReason::DeadlineUnreachable);
      CPPUNIT_ASSERT(refused.empty() || refused.front().mRetryAfter >= Millis(500));
    }
  }

  void TestExpiredRequests()
  {
    // An answer takes 2 s, so 2.4 s must be left (margin 1.2); a request waits at most a quarter of
    // the time to its deadline.
    AdmissionController admission{ RoutingSettings{} };
    admission.OnCompleted("m", seconds(2));
    admission.Enqueue("m", MakeRequest(1, "a", 100, seconds(3)), kStart);
    admission.Enqueue("m", MakeRequest(2, "a", 100, seconds(5)), kStart);
    admission.Enqueue("m", MakeRequest(3, "a", 100, seconds(60)), kStart);
    struct Row
    {
      Millis mAt;
      std::uint64_t mId; // 0: none is refused
      ShedReason mReason;
    };
    const Row rows[] = { { Millis(600), 0, ShedReason::DeadlineUnreachable },
                         { Millis(601), 1, ShedReason::DeadlineUnreachable },
                         { Millis(1'250), 0, ShedReason::DeadlineUnreachable },
                         { Millis(1'251), 2, ShedReason::QueueTimeout },
                         { Millis(10'000), 0, ShedReason::DeadlineUnreachable },
                         { Millis(10'001), 3, ShedReason::QueueTimeout } };
    for (const auto& row : rows) {
      const auto refused = admission.RemoveExpired(kStart + row.mAt);
      CPPUNIT_ASSERT_EQUAL(row.mId, refused.empty() ? 0 : refused.front().mId);
      CPPUNIT_ASSERT(refused.size() <= 1 &&
                     (refused.empty() || refused.front().mReason == row.mReason));
    }
    CPPUNIT_ASSERT(!admission.HasQueuedRequests("m") &&
                   admission.PoolsWithQueuedRequests().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);

} // namespace gentianloom
