#include "gentianloom/gateway/EndpointLimitExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"
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
  CPPUNIT_TEST(TestWarmUpPermits);
  CPPUNIT_TEST(TestWarmUpIsSpread);
  CPPUNIT_TEST(TestWarmUpWithoutKeepers);
  CPPUNIT_TEST(TestWarmUpMessages);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kInstances = 60;
  static constexpr double kLimit = 5;
  static constexpr double kWarmUpLimit = 12;
  static constexpr WarmUpBound kWarmUpBound{ 1.5, 5 };
  static constexpr Millis kWarmUpTime{ 60'000 };
  const std::string mEndpoint = "w1";

  /// An instance with its own socket on the loopback interface and its own list of endpoints.
  struct Instance
  {
    explicit Instance(EndpointLimitExchangeTest& aTest)
      : mSocket(aTest.mLoop, aTest.mClock, mMetrics)
      , mAddress(testing::FreeLoopbackAddress(aTest.mLoop))
      , mExchange(aTest.mLoop,
                  mSocket,
                  mAddress,
                  [this, &aTest] {
                    auto out = aTest.mAddresses;
                    std::erase(out, mAddress);
                    return out;
                  },
                  mEndpoints,
                  aTest.mClock,
                  mMetrics,
                  { kWarmUpBound, [this] { return mKnowsPeers; } })
    {
      CPPUNIT_ASSERT(mSocket.Start(mAddress));
      aTest.mAddresses.push_back(mAddress);
      mEndpoints.Put(
        { .mId = aTest.mEndpoint, .mService = "s", .mAddress = "127.0.0.1:1", .mStartedAt = 7 },
        aTest.mClock.Now());
    }

    EndpointRegistry::Ptr Endpoint() const { return mEndpoints.All().begin()->second; }

    bool mKnowsPeers = true;
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
        isGranted = (co_await aInstance.mExchange.Take(aInstance.Endpoint())).has_value();
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

  /// Lists the endpoint at an instance as one that warms up.
  void ListWarmingUp(Instance& aInstance) const
  {
    aInstance.mEndpoints.SetWarmUpLimits({ { "s", kWarmUpLimit } });
    aInstance.mEndpoints.Put({ .mId = mEndpoint,
                               .mService = "s",
                               .mAddress = "127.0.0.1:1",
                               .mSequence = 1,
                               .mStartedAt = 7,
                               .mWarmUpRemaining = kWarmUpTime },
                             mClock.Now());
  }

  bool IsWarmingUp(const Instance& aInstance) const
  {
    return aInstance.Endpoint()->mWarmUp.IsLimited(mClock.Now());
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

  // Each instance sent what it liked to an endpoint that warms up, also when the first keeper had
  // ended, and when each of the two keepers was taken for the only one.
  void TestWarmUpPermits()
  {
    for (const auto& it : mInstances) {
      ListWarmingUp(*it);
    }
    constexpr int kSeconds = 2;
    const auto rate = KeeperRate(kWarmUpLimit, kWarmUpBound);
    const auto mostOfOne = static_cast<long>(rate * kSeconds) + 1;
    auto taken = TakePermits(std::chrono::seconds(kSeconds));
    CPPUNIT_ASSERT_GREATEREQUAL(mostOfOne / 2, taken);
    CPPUNIT_ASSERT_LESSEQUAL(mostOfOne, taken);
    const auto* first = Keepers().front();
    std::erase(mAddresses, first->mAddress);
    taken = TakePermits(std::chrono::seconds(kSeconds));
    CPPUNIT_ASSERT_GREATEREQUAL(mostOfOne / 2, taken);
    CPPUNIT_ASSERT_LESSEQUAL(mostOfOne, taken);
    // An instance that has not read the list of its peers must not take itself for the keeper.
    auto& lonely = *mInstances.front();
    lonely.mKnowsPeers = false;
    mAddresses = { lonely.mAddress };
    CPPUNIT_ASSERT_EQUAL(0L, TakePermits(Millis(500)));
    lonely.mKnowsPeers = true;
    CPPUNIT_ASSERT_GREATER(0L, TakePermits(Millis(500)));
  }

  // An endpoint that is cold again says so to one instance; the others went on as before.
  void TestWarmUpIsSpread()
  {
    for (const auto& it : mInstances) {
      it->mEndpoints.SetWarmUpLimits({ { "s", kWarmUpLimit } });
    }
    const auto count = [this] {
      return std::count_if(
        mInstances.begin(), mInstances.end(), [this](const auto& it) { return IsWarmingUp(*it); });
    };
    for (const auto& [remaining, expected] :
         { std::pair(kWarmUpTime, static_cast<long>(kInstances)), std::pair(Millis(0), 0L) }) {
      Other().mExchange.OnWarmUpStated(Other().Endpoint(), remaining);
      RunFor(Millis(100));
      CPPUNIT_ASSERT_EQUAL(expected, static_cast<long>(count()));
    }
  }

  // A keeper of an older version grants every query, as it knows no limit.
  void TestWarmUpWithoutKeepers()
  {
    auto& instance = Other();
    ListWarmingUp(instance);
    for (auto* it : Keepers()) {
      it->mSocket.SetHandler(PeerMessageKind::PermitQuery,
                             [it](std::string_view aBytes, const PeerSocket::Address& aSender) {
                               auto message = DecodeEndpointLimit(aBytes).value();
                               message.mKind = PeerMessageKind::PermitAnswer;
                               message.mIsGranted = true;
                               message.mWarmUp.reset();
                               it->mSocket.Send(aSender, EncodeEndpointLimit(message));
                             });
    }
    long taken = 0;
    net::Start(mLoop, "permits", KeepTaking(instance, mClock.Now() + Millis(500), taken));
    RunFor(Millis(700));
    CPPUNIT_ASSERT_EQUAL(0L, taken);
  }

  // Older versions read the first eight elements of an array.
  void TestWarmUpMessages()
  {
    EndpointLimitMessage message;
    message.mKind = PeerMessageKind::PermitQuery;
    message.mEndpoint = mEndpoint;
    const auto readByAll = nlohmann::json::from_msgpack(EncodeEndpointLimit(message));
    CPPUNIT_ASSERT(!DecodeEndpointLimit(EncodeEndpointLimit(message)).value().mWarmUp);
    message.mWarmUp = WarmUpStatement{ 0.5, Millis(4'321) };
    auto array = nlohmann::json::from_msgpack(EncodeEndpointLimit(message));
    const auto decoded = DecodeEndpointLimit(EncodeDatagram(array)).value().mWarmUp;
    CPPUNIT_ASSERT_EQUAL(0.5, decoded->mRequestsPerSecond);
    CPPUNIT_ASSERT(decoded->mRemaining == Millis(4'321));
    for (std::size_t n = readByAll.size(); n < array.size(); ++n) {
      for (const auto& bad : { nlohmann::json(-1), nlohmann::json("1"), nlohmann::json(1e300) }) {
        auto changed = array;
        changed[n] = bad;
        CPPUNIT_ASSERT(!DecodeEndpointLimit(EncodeDatagram(changed)));
      }
    }
    array.push_back("of a later version");
    CPPUNIT_ASSERT(DecodeEndpointLimit(EncodeDatagram(array)).value().mWarmUp);
    array.erase(array.begin() + static_cast<std::ptrdiff_t>(readByAll.size()), array.end());
    CPPUNIT_ASSERT(array == readByAll);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLimitExchangeTest);

} // namespace gentianloom
