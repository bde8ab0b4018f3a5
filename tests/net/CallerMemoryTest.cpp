#include "gentianloom/net/CallerMemory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace gentianloom::net {

namespace {

constexpr std::size_t kKiB = 1'024;
constexpr std::size_t kMiB = 1'024 * kKiB;
constexpr CallerMemoryLimits kLimits{ 8 * kMiB, 4 };

constexpr auto kIdle = CallerState::Idle;
constexpr auto kReading = CallerState::Reading;
constexpr auto kRunning = CallerState::Running;

/// A connection that notes why it was shed, and closes as one does that cannot be refused.
struct Caller
{
  Caller(CallerMemory& aMemory, CallerState aState)
    : mShare(aMemory, [this](ShedReason) {
      mIsShed = true;
      mShare.OnClosed();
    })
  {
    mShare.SetState(aState);
  }

  CallerShare mShare;
  bool mIsShed = false;
};

} // namespace

/// Load pattern: callers that hold as much as they may and send nothing more, among ordinary ones.
class CallerMemoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerMemoryTest);
  CPPUNIT_TEST(TestChoiceForMemory);
  CPPUNIT_TEST(TestChoiceForConnection);
  CPPUNIT_TEST(TestLargeHoldingsLeaveRoomForSmallOnes);
  CPPUNIT_TEST(TestSmallHoldingsAreBounded);
  CPPUNIT_TEST(TestRunningRequestsAreKept);
  CPPUNIT_TEST(TestSingleBytesAreNoProgress);
  CPPUNIT_TEST(TestConnections);
  CPPUNIT_TEST(TestReleasedBytesAreFree);
  CPPUNIT_TEST_SUITE_END();

public:
  // A caller that makes progress, or one with a small request, was refused before the one that
  // holds most and stalls.
  void TestChoiceForMemory()
  {
    struct Row
    {
      std::string mName;
      std::vector<CallerHolding> mHoldings;
      bool mOnlyLarge;
      std::optional<std::size_t> mChosen;
    };
    const Row rows[] = {
      { "none", {}, false, std::nullopt },
      { "the larger one",
        { { kReading, kMiB, Millis(0) }, { kReading, 2 * kMiB, Millis(0) } },
        false,
        1 },
      { "the one that stalls",
        { { kReading, kMiB, Millis(2'000) }, { kReading, 2 * kMiB, Millis(0) } },
        false,
        0 },
      { "a small one that stalls for long is kept",
        { { kReading, 16 * kKiB, Millis(60'000) }, { kReading, kMiB, Millis(0) } },
        true,
        1 },
      { "only small ones",
        { { kReading, 16 * kKiB, Millis(9'000) }, { kIdle, 8 * kKiB, Millis(9'000) } },
        true,
        std::nullopt },
      { "small ones at the bound: the one that stalls",
        { { kReading, 16 * kKiB, Millis(0) }, { kIdle, 8 * kKiB, Millis(9'000) } },
        false,
        1 },
      { "a running one never",
        { { kRunning, 8 * kMiB, Millis(9'000) }, { kReading, kMiB, Millis(0) } },
        false,
        1 },
      { "only running ones", { { kRunning, 8 * kMiB, Millis(9'000) } }, false, std::nullopt },
      { "an unread response",
        { { kIdle, 4 * kMiB, Millis(500) }, { kReading, kMiB, Millis(500) } },
        false,
        0 }
    };
    for (const auto& it : rows) {
      const auto chosen = ChooseToFreeMemory(it.mHoldings, it.mOnlyLarge);
      CPPUNIT_ASSERT_MESSAGE(it.mName, chosen == it.mChosen);
    }
  }

  // A new caller was turned away while connections that nobody uses stayed open.
  void TestChoiceForConnection()
  {
    const std::vector<CallerHolding> holdings = { { kRunning, kMiB, Millis(9'000) },
                                                  { kReading, kMiB, Millis(10) },
                                                  { kIdle, kKiB, Millis(3'000) },
                                                  { kReading, kKiB, Millis(2'000) } };
    CPPUNIT_ASSERT(ChooseToFreeConnection(holdings) == std::size_t{ 2 });
    const std::vector<CallerHolding> running(3, { kRunning, kMiB, Millis(9'000) });
    CPPUNIT_ASSERT(!ChooseToFreeConnection(running));
  }

  // Stalled large bodies took all memory, and small requests were refused.
  void TestLargeHoldingsLeaveRoomForSmallOnes()
  {
    Caller small(mMemory, kReading);
    std::vector<std::unique_ptr<Caller>> large;
    for (int n = 0; n < 20; ++n) {
      large.push_back(std::make_unique<Caller>(mMemory, kReading));
      large.back()->mShare.Set(HeldKind::Body, kMiB);
      mClock.Advance(Millis(10));
      CPPUNIT_ASSERT(mMemory.Bytes() <= kLimits.mBytes / 4 * 3);
    }
    CPPUNIT_ASSERT(large.front()->mIsShed);
    CPPUNIT_ASSERT(!large.back()->mIsShed);
    small.mShare.Set(HeldKind::Body, 32 * kKiB);
    CPPUNIT_ASSERT(!small.mIsShed);
  }

  // Many small requests that stall held more together than the bound.
  void TestSmallHoldingsAreBounded()
  {
    std::vector<std::unique_ptr<Caller>> callers;
    for (int n = 0; n < 1'000; ++n) {
      callers.push_back(std::make_unique<Caller>(mMemory, kReading));
      callers.back()->mShare.Set(HeldKind::Body, 16 * kKiB);
      mClock.Advance(Millis(1));
      CPPUNIT_ASSERT(mMemory.Bytes() <= kLimits.mBytes);
    }
    CPPUNIT_ASSERT(callers.front()->mIsShed);
    CPPUNIT_ASSERT(!callers.back()->mIsShed);
  }

  // A request that was refused must not have run.
  void TestRunningRequestsAreKept()
  {
    Caller running(mMemory, kRunning);
    running.mShare.Set(HeldKind::Body, 20 * kMiB);
    CPPUNIT_ASSERT(!running.mIsShed);
    CPPUNIT_ASSERT(!mMemory.HasRoomForLarge());
    Caller reading(mMemory, kReading);
    reading.mShare.Set(HeldKind::Body, kMiB);
    CPPUNIT_ASSERT(reading.mIsShed && reading.mShare.IsShed());
    CPPUNIT_ASSERT(!running.mIsShed);
  }

  // A caller that sends a byte now and then was kept before one that stalled for a moment.
  void TestSingleBytesAreNoProgress()
  {
    Caller dripping(mMemory, kReading);
    dripping.mShare.Set(HeldKind::Body, 2 * kMiB);
    Caller sending(mMemory, kReading);
    sending.mShare.Set(HeldKind::Body, 3 * kMiB);
    for (int n = 0; n < 100; ++n) {
      mClock.Advance(Millis(100));
      dripping.mShare.AddProgress(1);
      sending.mShare.AddProgress(16 * kKiB);
    }
    Caller third(mMemory, kReading);
    third.mShare.Set(HeldKind::Body, 2 * kMiB);
    CPPUNIT_ASSERT(dripping.mIsShed);
    CPPUNIT_ASSERT(!sending.mIsShed && !third.mIsShed);
  }

  // Idle connections kept new callers out, or took the descriptors of endpoints and the store.
  void TestConnections()
  {
    std::vector<std::unique_ptr<Caller>> callers;
    for (int n = 0; n < 10; ++n) {
      CPPUNIT_ASSERT(mMemory.MakeRoomForConnection());
      callers.push_back(std::make_unique<Caller>(mMemory, n == 0 ? kRunning : kIdle));
      mClock.Advance(Millis(10));
      CPPUNIT_ASSERT(mMemory.Connections() <= kLimits.mConnections);
    }
    CPPUNIT_ASSERT(!callers.front()->mIsShed);
    CPPUNIT_ASSERT(callers.at(1)->mIsShed && !callers.back()->mIsShed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, mMemory.Shed(ShedReason::Connections));
    for (auto& it : callers) {
      it->mShare.SetState(kRunning);
    }
    CPPUNIT_ASSERT(!mMemory.MakeRoomForConnection());
  }

  // Bytes that were counted twice or never given back would refuse all callers in the end.
  void TestReleasedBytesAreFree()
  {
    {
      Caller shed(mMemory, kReading);
      shed.mShare.Set(HeldKind::Body, 7 * kMiB);
      shed.mShare.Set(HeldKind::Head, kMiB);
      CPPUNIT_ASSERT(shed.mIsShed);
      Caller kept(mMemory, kReading);
      kept.mShare.Set(HeldKind::Body, kMiB);
      kept.mShare.Set(HeldKind::Body, 2 * kMiB);
      kept.mShare.Set(HeldKind::Response, kMiB);
      CPPUNIT_ASSERT(mMemory.Bytes() > 3 * kMiB);
      CPPUNIT_ASSERT_EQUAL(2 * kMiB, mMemory.Bytes(HeldKind::Body));
    }
    mMemory.AddBuffered(static_cast<std::ptrdiff_t>(kMiB));
    CPPUNIT_ASSERT_EQUAL(kMiB, mMemory.Bytes());
    mMemory.AddBuffered(-static_cast<std::ptrdiff_t>(kMiB));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mMemory.Bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mMemory.Connections());
  }

private:
  ManualClock mClock{};
  CallerMemory mMemory{ kLimits, mClock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerMemoryTest);

} // namespace gentianloom::net
