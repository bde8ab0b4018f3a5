#include "gentianloom/routing/CrashEvidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom {

class CrashEvidenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashEvidenceTest);
  CPPUNIT_TEST(TestRuns);
  CPPUNIT_TEST(TestMemoryIsBounded);
  CPPUNIT_TEST(TestFrequentKeyIsRemembered);
  CPPUNIT_TEST(TestTakeOver);
  CPPUNIT_TEST(TestMostSuspicious);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };

public:
  // A request that crashes endpoints went on to the next one; a request that only ran beside it, or
  // on endpoints that were lost together, must not be blocked.
  void TestRuns()
  {
    struct Run
    {
      int mSentAtMs;
      int mEndedAtMs;
      bool mIsCompleted;
    };
    struct Row
    {
      std::string mName;
      std::vector<Run> mRuns; ///< in the order in which they end
      bool mIsBlocked;
    };
    const Row rows[] = {
      { "one endpoint after the other",
        { { 0, 80, false }, { 100, 180, false }, { 200, 280, false } },
        true },
      { "two interruptions", { { 0, 80, false }, { 100, 180, false } }, false },
      { "runs at the same time",
        { { 0, 80, false }, { 10, 90, false }, { 20, 95, false } },
        false },
      { "many endpoints lost together, twice",
        { { 0, 80, false },
          { 5, 80, false },
          { 9, 81, false },
          { 1'000, 1'080, false },
          { 1'005, 1'080, false },
          { 1'006, 1'081, false } },
        false },
      { "at the same time, again and again",
        { { 0, 80, false },
          { 40, 120, false },
          { 130, 210, false },
          { 170, 250, false },
          { 260, 340, false } },
        true },
      { "completed in between",
        { { 0, 80, false }, { 100, 180, false }, { 190, 200, true }, { 210, 280, false } },
        false },
      { "completed after it was sent",
        { { 0, 80, false }, { 100, 180, false }, { 250, 260, true }, { 200, 280, false } },
        false },
      { "an earlier completion does not count for later runs",
        { { 0, 20, true }, { 100, 180, false }, { 200, 280, false }, { 300, 380, false } },
        true },
      { "interruptions long ago",
        { { 0, 80, false }, { 100, 180, false }, { 400'000, 400'080, false } },
        false },
    };
    for (const auto& row : rows) {
      CrashEvidence evidence;
      bool isBlocked = false;
      for (const auto& it : row.mRuns) {
        const auto sentAt = kStart + Millis(it.mSentAtMs);
        const auto endedAt = kStart + Millis(it.mEndedAtMs);
        evidence.RemoveExpired(endedAt);
        if (it.mIsCompleted) {
          evidence.OnSurvived("f", sentAt, endedAt);
          continue;
        }
        isBlocked = evidence.OnInterrupted("f", sentAt, endedAt) || isBlocked;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIsBlocked, isBlocked);
    }
  }

  // The memory of a small instance must not grow with the requests that it serves.
  void TestMemoryIsBounded()
  {
    CrashEvidence evidence;
    for (std::size_t n = 0; n <= CrashEvidence::kMaxSurvived; ++n) {
      evidence.OnSurvived("c" + std::to_string(n), kStart, kStart);
    }
    CPPUNIT_ASSERT(!evidence.HasSurvivedSince("c0", kStart));
    CPPUNIT_ASSERT(evidence.HasSurvivedSince("c1", kStart));
    for (std::size_t n = 0; n <= CrashEvidence::kMaxSuspects; ++n) {
      const auto at = kStart + Millis(n);
      evidence.OnInterrupted("s" + std::to_string(n), at, at);
    }
    CPPUNIT_ASSERT(!evidence.Find("s0"));
    CPPUNIT_ASSERT(evidence.Find("s1"));
    evidence.RemoveExpired(kStart + CrashEvidence::kMemory +
                           Millis(CrashEvidence::kMaxSuspects + 1));
    CPPUNIT_ASSERT(!evidence.Find("s1"));
    CPPUNIT_ASSERT(!evidence.HasSurvivedSince("c1", kStart));
  }

  // A part of most prompts was forgotten as soon as its first survived run was the oldest one.
  void TestFrequentKeyIsRemembered()
  {
    CrashEvidence evidence;
    auto now = kStart;
    for (std::size_t n = 0; n <= 2 * CrashEvidence::kMaxSurvived; ++n) {
      now += Millis(1);
      evidence.OnSurvived("c" + std::to_string(n), now, now);
      evidence.OnSurvived("frequent", now, now);
      CPPUNIT_ASSERT(evidence.HasSurvivedSince("frequent", now));
    }
    CPPUNIT_ASSERT(!evidence.HasSurvivedSince("c0", kStart));
  }

  // What a process knew is lost with it; what another one has seen since must not be replaced by
  // it.
  void TestTakeOver()
  {
    struct Row
    {
      std::string mName;
      int mKnown;            ///< interruptions
      int mTakenOver;        ///< interruptions, the last of them at kStart
      int mSurvivedSentAtMs; ///< after kStart, of a run that an endpoint survived
      int mExpected;         ///< interruptions
    };
    const Row rows[] = {
      { "nothing known", 0, 2, -10, 2 }, { "less known", 1, 2, -10, 2 },
      { "as much known", 2, 2, -10, 2 }, { "more known", 2, 1, -10, 2 },
      { "survived since", 0, 2, 10, 0 },
    };
    for (const auto& row : rows) {
      CrashEvidence evidence;
      evidence.OnSurvived("key", kStart + Millis(row.mSurvivedSentAtMs), kStart);
      for (int n = 0; n < row.mKnown; ++n) {
        const auto sentAt = kStart + Millis(100 * (n + 1));
        evidence.OnInterrupted("key", sentAt, sentAt + Millis(80));
      }
      const bool isMore = evidence.TakeOver("key", { row.mTakenOver, kStart, kStart });
      const auto suspect = evidence.Find("key");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mExpected, suspect ? suspect->mInterruptions : 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mExpected > row.mKnown, isMore);
    }
  }

  // A record has room for some suspects only: those that are nearest to being blocked.
  void TestMostSuspicious()
  {
    CrashEvidence evidence;
    evidence.TakeOver("once", { 1, kStart, kStart + Millis(2) });
    evidence.TakeOver("twice", { 2, kStart, kStart });
    evidence.TakeOver("twice, later", { 2, kStart, kStart + Millis(1) });
    evidence.TakeOver("unwanted", { 2, kStart, kStart + Millis(9) });
    std::string names;
    const auto isWanted = [](const std::string& aKey) { return aKey != "unwanted"; };
    for (const auto& [key, it] : evidence.MostSuspicious(2, isWanted)) {
      names += key + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("twice, later; twice; "), names);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

} // namespace gentianloom
