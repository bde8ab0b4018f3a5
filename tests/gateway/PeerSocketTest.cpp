#include "gentianloom/gateway/PeerSocket.h"

#include "gentianloom/gateway/Datagram.h"

#include "support/LoopbackPort.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gentianloom {

class PeerSocketTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerSocketTest);
  CPPUNIT_TEST(TestOrder);
  CPPUNIT_TEST(TestQueueTime);
  CPPUNIT_TEST_SUITE_END();

  /// A datagram of a kind with a text that the test recognises.
  static std::string MakeDatagram(PeerMessageKind aKind, const std::string& aText)
  {
    return aKind == PeerMessageKind::Load
             ? EncodeDatagram(nlohmann::json::array({ aText }))
             : EncodeDatagram(nlohmann::json::array({ static_cast<int>(aKind), aText }));
  }

  /// Makes the receiver note the texts of a kind, in the order in which they are handled.
  void Record(PeerMessageKind aKind, Micros aHandlingTime = Micros(0))
  {
    mReceiver->SetHandler(aKind, [this, aHandlingTime](std::string_view aBytes, const auto&) {
      const auto array = nlohmann::json::from_msgpack(aBytes.begin(), aBytes.end());
      mHandled.push_back(array.back().get<std::string>());
      mQueueTimes.push_back(mReceiver->QueueTime());
      std::this_thread::sleep_for(aHandlingTime);
    });
  }

  void RunUntilHandled(std::size_t aCount)
  {
    CPPUNIT_ASSERT(testing::RunUntil(mLoop, [&] { return mHandled.size() >= aCount; }));
    mLoop.restart();
    mLoop.run_for(Millis(20)); // no more follow
  }

  void Start(const Clock& aClock)
  {
    mReceiver = std::make_unique<PeerSocket>(mLoop, aClock, mMetrics);
    mAddress = testing::FreeLoopbackAddress(mLoop);
    CPPUNIT_ASSERT(mReceiver->Start(mAddress));
    for (auto& it : mSenders) {
      CPPUNIT_ASSERT(it.Start(testing::FreeLoopbackAddress(mLoop)));
    }
  }

  net::Loop mLoop{ 1 };
  SystemClock mClock;
  Metrics mMetrics;
  std::unique_ptr<PeerSocket> mReceiver;
  PeerSocket mSenders[2] = { { mLoop, mClock, mMetrics }, { mLoop, mClock, mMetrics } };
  std::string mAddress;
  std::vector<std::string> mHandled;
  std::vector<Micros> mQueueTimes;

public:
  // DRAIN: updates of the endpoints waited behind thousands of load reports.
  void TestOrder()
  {
    // Time does not pass, so that nothing is handled before all that has arrived is read.
    const ManualClock clock;
    Start(clock);
    Record(PeerMessageKind::Load);
    Record(PeerMessageKind::PrefixUpdate);
    for (const auto* it : { "load 1", "load 2", "load 3" }) {
      mSenders[0].Send(mAddress, MakeDatagram(PeerMessageKind::Load, it));
    }
    mSenders[1].Send(mAddress, MakeDatagram(PeerMessageKind::Load, "other load"));
    for (const auto* it : { "update 1", "update 2" }) {
      mSenders[0].Send(mAddress, MakeDatagram(PeerMessageKind::PrefixUpdate, it));
    }
    RunUntilHandled(4);
    const std::vector<std::string> expected = { "update 1", "update 2", "load 3", "other load" };
    CPPUNIT_ASSERT(expected == mHandled);
  }

  // A datagram is no newer than its time in the queue allows, and an idle socket makes it no older.
  void TestQueueTime()
  {
    constexpr Millis kHandlingTime{ 30 };
    constexpr Millis kIdleTime{ 2'000 };
    constexpr Millis kMaxIdleError{ 1'000 };
    constexpr std::size_t kDatagrams = 8;
    Start(mClock);
    Record(PeerMessageKind::PrefixUpdate, kHandlingTime);
    mLoop.run_for(kIdleTime);
    for (std::size_t n = 0; n < kDatagrams; ++n) {
      mSenders[0].Send(mAddress, MakeDatagram(PeerMessageKind::PrefixUpdate, "update"));
    }
    RunUntilHandled(kDatagrams);
    CPPUNIT_ASSERT_LESSEQUAL(Micros(kMaxIdleError).count(), mQueueTimes.front().count());
    for (std::size_t n = 0; n < kDatagrams; ++n) {
      CPPUNIT_ASSERT_GREATEREQUAL(Micros(kHandlingTime * n).count(), mQueueTimes[n].count());
    }
    CPPUNIT_ASSERT(mReceiver->TakeLongestQueueTime() >= kHandlingTime * (kDatagrams - 1));
    CPPUNIT_ASSERT(mReceiver->TakeLongestQueueTime() == Micros(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSocketTest);

} // namespace gentianloom
