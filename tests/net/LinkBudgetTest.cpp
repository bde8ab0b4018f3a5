#include "gentianloom/net/LinkBudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <string>

namespace gentianloom::net {

class LinkBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkBudgetTest);
  CPPUNIT_TEST(TestAnswersPassCallers);
  CPPUNIT_TEST(TestTimes);
  CPPUNIT_TEST(TestBacklog);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kLinkBytesPerSecond = 1'250'000; // 10 Mbit/s
  static constexpr std::uint64_t kRequestBytes = 4'300;
  static constexpr std::uint64_t kPacketBytes = 60;

  /// A link whose bytes arrive in the order in which they were sent.
  struct Link
  {
    struct Item
    {
      std::uint64_t mBytes;
      TimePoint mSentAt;
      bool mIsAnswer;
    };

    std::deque<Item> mQueue{};
    double mCapacity = 0; ///< bytes that could have arrived by now
    std::uint64_t mReceived = 0;
    Millis mLongestAnswer{ 0 };

    void Run(Millis aTime, TimePoint aNow)
    {
      mCapacity += kLinkBytesPerSecond * static_cast<double>(aTime.count()) / 1'000;
      while (!mQueue.empty() && static_cast<double>(mQueue.front().mBytes) <= mCapacity) {
        const auto it = mQueue.front();
        mQueue.pop_front();
        mCapacity -= static_cast<double>(it.mBytes);
        mReceived += it.mBytes;
        if (it.mIsAnswer) {
          mLongestAnswer =
            std::max(mLongestAnswer, std::chrono::duration_cast<Millis>(aNow - it.mSentAt));
        }
      }
      mCapacity = mQueue.empty() ? 0 : mCapacity;
    }
  };

  /// What ten seconds of callers and answers come to.
  struct Outcome
  {
    Millis mLongestAnswer;
    int mAccepted;
  };

  /// Callers open connections at a rate, each of which sends a request once the system has taken
  /// it; an answer of the key-value service is sent every 100 ms.
  static Outcome Simulate(int aConnectionsPerSecond, double aLimitBytesPerSecond)
  {
    constexpr Millis kDuration{ 10'000 };
    constexpr Millis kStep{ 1 };
    constexpr int kAnswerSteps = 100;
    LinkBudget budget(aLimitBytesPerSecond);
    const int backlog = budget.Backlog().value_or(std::numeric_limits<int>::max());
    Link link;
    TimePoint now{ std::chrono::hours(1) };
    int waiting = 0; // taken by the system, not accepted
    int accepted = 0;
    int offered = 0;
    for (int n = 0; n < kDuration / kStep; ++n) {
      now += kStep;
      while (offered < aConnectionsPerSecond * (n + 1) / 1'000) {
        ++offered;
        const bool isTaken = waiting < backlog;
        waiting += isTaken ? 1 : 0;
        link.mQueue.push_back({ isTaken ? kRequestBytes : kPacketBytes, now, false });
      }
      if (n % kAnswerSteps == 0) {
        link.mQueue.push_back({ kPacketBytes, now, true });
      }
      link.Run(kStep, now);
      budget.OnTotal(link.mReceived, now);
      while (waiting > 0 && budget.TimeUntilAccept(now) <= Micros(0)) {
        budget.OnAccept(now);
        --waiting;
        ++accepted;
        if (aLimitBytesPerSecond > 0) {
          break; // the bytes of what is accepted are counted before the next one is
        }
      }
    }
    return { link.mLongestAnswer, accepted };
  }

public:
  // Callers that send more than a link carries kept the configuration and the answers of endpoints
  // from an instance for seconds (CONFIG on the tills' site).
  void TestAnswersPassCallers()
  {
    constexpr Millis kConnectTimeout{ 500 }; // of calls to the key-value service
    for (const int rate : { 320, 400, 600 }) {
      const auto name = std::to_string(rate) + " connections a second";
      CPPUNIT_ASSERT_MESSAGE(name, Simulate(rate, 0).mLongestAnswer > kConnectTimeout);
      const auto limited = Simulate(rate, kLinkBytesPerSecond);
      CPPUNIT_ASSERT_MESSAGE(name, limited.mLongestAnswer < kConnectTimeout);
      // What the share carries is accepted.
      const auto least = LinkBudget::kShare * kLinkBytesPerSecond * 10 / kRequestBytes * 0.9;
      CPPUNIT_ASSERT_MESSAGE(name, limited.mAccepted > least);
    }
    // Callers that the link carries are not held back.
    CPPUNIT_ASSERT(Simulate(150, kLinkBytesPerSecond).mAccepted >= 1'490);
  }

  void TestTimes()
  {
    struct Row
    {
      std::string mName;
      double mLimit;
      std::uint64_t mBytes;
      Millis mAcceptedAgo;
      Micros mExpected;
    };
    const double limit = 1'000'000 / LinkBudget::kShare; // its share carries 1 byte in 1 us
    const Row rows[] = {
      { "nothing received", limit, 0, Millis(0), Micros(0) },
      { "as much as a burst", limit, 100'000, Millis(0), Micros(0) },
      { "more", limit, 140'000, Millis(0), Micros(40'000) },
      { "far more: some are accepted all the same", limit, 9'000'000, Millis(30), Micros(20'000) },
      { "far more, long ago", limit, 9'000'000, Millis(100), Micros(0) },
      { "no limit", 0, 9'000'000, Millis(0), Micros(0) },
    };
    const TimePoint now{ std::chrono::hours(1) };
    for (const auto& row : rows) {
      LinkBudget budget(row.mLimit);
      budget.OnAccept(now - row.mAcceptedAgo);
      budget.OnTotal(row.mBytes, now);
      CPPUNIT_ASSERT_MESSAGE(row.mName, budget.TimeUntilAccept(now) == row.mExpected);
    }
  }

  void TestBacklog()
  {
    CPPUNIT_ASSERT(!LinkBudget(0).Backlog());
    CPPUNIT_ASSERT_EQUAL(16, LinkBudget(kLinkBytesPerSecond).Backlog().value());
    CPPUNIT_ASSERT_EQUAL(109, LinkBudget(kLinkBytesPerSecond * 10).Backlog().value());
    CPPUNIT_ASSERT(!LinkBudget(kLinkBytesPerSecond * 400).Backlog());
    // What waits is accepted before its caller gives up.
    constexpr Millis kCallerWaits{ 1'000 };
    CPPUNIT_ASSERT(LinkBudget::kMaxPause * 16 < kCallerWaits);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkBudgetTest);

} // namespace gentianloom::net
