#include "gentianloom/gateway/EndpointLimitExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/membership/Keepers.h"

#include "support/LoopbackPort.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace gentianloom {

class EndpointLimitExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointLimitExchangeTest);
  CPPUNIT_TEST(TestAllInstancesLearn);
  CPPUNIT_TEST(TestPermitsOfManyInstances);
  CPPUNIT_TEST(TestKeeperEnds);
  CPPUNIT_TEST(TestNoKeeperAnswers);
  CPPUNIT_TEST(TestOtherProcess);
  CPPUNIT_TEST(TestMessages);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kInstances = 60;
  static constexpr double kLimit = 5;
  const std::string mEndpoint = "w1";

  /// An instance with its own socket on the loopback interface and its own list of endpoints.
  struct Instance
  {
    explicit Instance(EndpointLimitExchangeTest& aTest)
      : mSocket(aTest.mLoop, mMetrics)
      , mAddress(testing::FreeLoopbackAddress(aTest.mLoop))
      , mExchange(
          aTest.mLoop,
          mSocket,
          mAddress,
          [this, &aTest] {
            auto out = aTest.mAddresses;
            std::erase(out, mAddress);
            return out;
          },
          mEndpoints,
          aTest.mClock,
          mMetrics)
    {
      CPPUNIT_ASSERT(mSocket.Start(mAddress));
      aTest.mAddresses.push_back(mAddress);
      mEndpoints.Put(
        { .mId = aTest.mEndpoint, .mService = "s", .mAddress = "127.0.0.1:1", .mStartedAt = 7 },
        aTest.mClock.Now());
    }

    EndpointRegistry::Ptr Endpoint() const { return mEndpoints.All().begin()->second; }

    Metrics mMetrics;
    PeerSocket mSocket;
    std::string mAddress;
    EndpointRegistry mEndpoints;
    EndpointLimitExchange mExchange;
  };

  net::Loop mLoop{ 1 };
  SystemClock mClock;
  std::vector<std::string> mAddresses;
  std::vector<std::unique_ptr<Instance>> mInstances;

  void RunFor(Millis aTime)
  {
    mLoop.restart();
    mLoop.run_for(aTime);
  }

  long CountLimited() const
  {
    return std::count_if(mInstances.begin(), mInstances.end(), [](const auto& it) {
      return it->Endpoint()->mRateLimit.IsLimited();
    });
  }

  /// The instances that give out the endpoint's permits, in order.
  std::vector<Instance*> Keepers() const
  {
    const auto addresses =
      ChooseKeepers(StableHash(mEndpoint), mAddresses, EndpointLimitExchange::kKeepers);
    std::vector<Instance*> out;
    for (const auto& address : addresses) {
      for (const auto& it : mInstances) {
        if (it->mAddress == address) {
          out.push_back(it.get());
        }
      }
    }
    return out;
  }

  /// An instance that is no keeper.
  Instance& Other() const
  {
    const auto keepers = Keepers();
    return **std::find_if(mInstances.begin(), mInstances.end(), [&](const auto& it) {
      return std::find(keepers.begin(), keepers.end(), it.get()) == keepers.end();
    });
  }

  net::Task<void> KeepTaking(Instance& aInstance, TimePoint aEnd, long& aTaken)
  {
    while (mClock.Now() < aEnd) {
      const bool mayAsk = aInstance.Endpoint()->mRateLimit.AllowsRequest(mClock.Now());
      bool isGranted = false;
      if (mayAsk) {
        isGranted = co_await aInstance.mExchange.Take(aInstance.Endpoint());
      }
      aTaken += isGranted ? 1 : 0;
      co_await net::Signal::Sleep(mLoop, Millis(5));
    }
  }

  /// Lets all instances that have not ended take permits for a time. @return how many they got
  long TakePermits(Millis aTime)
  {
    long out = 0;
    const auto end = mClock.Now() + aTime;
    for (const auto& it : mInstances) {
      const bool hasEnded =
        std::find(mAddresses.begin(), mAddresses.end(), it->mAddress) == mAddresses.end();
      if (!hasEnded) {
        net::Start(mLoop, "permits", KeepTaking(*it, end, out));
      }
    }
    RunFor(aTime + 2 * EndpointLimitExchange::kAnswerTimeout + Millis(50));
    return out;
  }

  void StateAndLearn()
  {
    Other().mExchange.OnStated(Other().Endpoint(), kLimit);
    RunFor(Millis(100));
    CPPUNIT_ASSERT_EQUAL(static_cast<long>(kInstances), CountLimited());
  }

public:
  void setUp() override
  {
    for (int n = 0; n < kInstances; ++n) {
      mInstances.push_back(std::make_unique<Instance>(*this));
    }
    for (const auto& it : mInstances) {
      it->mExchange.Start();
    }
  }

  // Each instance had to be told by the endpoint itself, and sent it a request for that.
  void TestAllInstancesLearn()
  {
    StateAndLearn();
    mInstances.back()->mExchange.OnStated(mInstances.back()->Endpoint(), std::nullopt);
    RunFor(Millis(100));
    CPPUNIT_ASSERT_EQUAL(0L, CountLimited());
  }

  // Each instance for itself would send as many requests as the endpoint takes of all.
  void TestPermitsOfManyInstances()
  {
    StateAndLearn();
    constexpr int kSeconds = 2;
    const auto taken = TakePermits(std::chrono::seconds(kSeconds));
    CPPUNIT_ASSERT_GREATEREQUAL(static_cast<long>(kLimit * kSeconds / 2), taken);
    CPPUNIT_ASSERT_LESSEQUAL(static_cast<long>(kLimit * kSeconds) + 3, taken);
  }

  // The keeper that knew the limit is gone; the next one learns it from the queries.
  void TestKeeperEnds()
  {
    StateAndLearn();
    for (int n = 0; n < 2; ++n) {
      const auto* ended = Keepers().front();
      std::erase(mAddresses, ended->mAddress);
      constexpr int kSeconds = 2;
      const auto taken = TakePermits(std::chrono::seconds(kSeconds));
      CPPUNIT_ASSERT_GREATEREQUAL(static_cast<long>(kLimit * kSeconds / 2), taken);
      CPPUNIT_ASSERT_LESSEQUAL(static_cast<long>(kLimit * kSeconds) + 3, taken);
    }
  }

  // An instance that is cut off from all others must not send what it likes.
  void TestNoKeeperAnswers()
  {
    auto& instance = Other();
    const auto limited = instance.Endpoint();
    limited->mRateLimit.OnStated(kLimit, mClock.Now());
    mAddresses = { instance.mAddress, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4" };
    while (Keepers().size() > 0) {
      mAddresses.push_back("127.0.0.1:" + std::to_string(mAddresses.size()));
    }
    long taken = 0;
    net::Start(mLoop, "permits", KeepTaking(instance, mClock.Now() + Millis(500), taken));
    RunFor(Millis(700));
    CPPUNIT_ASSERT_EQUAL(0L, taken);
    CPPUNIT_ASSERT(limited->mRateLimit.IsLimited());
  }

  // Another process at the same id has stated nothing yet.
  void TestOtherProcess()
  {
    StateAndLearn();
    auto& instance = Other();
    instance.mEndpoints.Put(
      { .mId = mEndpoint, .mService = "s", .mAddress = "127.0.0.1:1", .mStartedAt = 8 },
      mClock.Now());
    CPPUNIT_ASSERT(!instance.Endpoint()->mRateLimit.IsLimited());
    const auto& other = *mInstances.back();
    mInstances.back()->mExchange.OnStated(other.Endpoint(), kLimit + 1);
    RunFor(Millis(100));
    CPPUNIT_ASSERT(!instance.Endpoint()->mRateLimit.IsLimited());
  }

  // A datagram that is cut, or states what no endpoint can mean, must change nothing.
  void TestMessages()
  {
    EndpointLimitMessage message;
    message.mKind = PeerMessageKind::PermitAnswer;
    message.mQuery = 9;
    message.mEndpoint = mEndpoint;
    message.mStartedAt = 1'784'634'863'000;
    message.mStatedAgo = Micros(1'234);
    message.mIsGranted = true;
    message.mWait = Millis(500);
    for (const auto& limit :
         { std::optional<double>(), std::optional(0.0), std::optional(1.3), std::optional(1e9) }) {
      message.mRequestsPerSecond = limit;
      const auto bytes = EncodeEndpointLimit(message);
      const auto decoded = DecodeEndpointLimit(bytes);
      CPPUNIT_ASSERT(decoded);
      CPPUNIT_ASSERT(decoded.value().mKind == message.mKind);
      CPPUNIT_ASSERT(decoded.value().mStartedAt == message.mStartedAt);
      CPPUNIT_ASSERT_EQUAL(limit.has_value(), decoded.value().mRequestsPerSecond.has_value());
      CPPUNIT_ASSERT(!limit || *limit > 1e6 || *limit == decoded.value().mRequestsPerSecond);
      for (std::size_t n = 0; n < bytes.size(); ++n) {
        CPPUNIT_ASSERT(!DecodeEndpointLimit(std::string_view(bytes).substr(0, n)));
      }
    }
    message.mRequestsPerSecond = -1;
    CPPUNIT_ASSERT(!DecodeEndpointLimit(EncodeEndpointLimit(message)));
    message.mRequestsPerSecond = 1;
    message.mStatedAgo = Micros(-1);
    CPPUNIT_ASSERT(!DecodeEndpointLimit(EncodeEndpointLimit(message)));
    message.mStatedAgo = Micros(1);
    message.mWait = std::chrono::hours(1);
    CPPUNIT_ASSERT(!DecodeEndpointLimit(EncodeEndpointLimit(message)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLimitExchangeTest);

} // namespace gentianloom
