#include "gentianloom/gateway/BudgetExchange.h"

#include "gentianloom/gateway/Datagram.h"

#include "support/LoopbackPort.h"
#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace gentianloom {

namespace {

constexpr Tokens kPrepaid = 100'000;
const std::string kBudget = "b";

BudgetSettings Settings()
{
  BudgetSettings out;
  out.mPolicy = "outage";
  out.mDemandWindow = Millis(8'000);
  out.mDemandTimeConstant = Millis(8'000);
  out.mCommitInterval = Millis(1);
  return out;
}

/// The instances of a fleet, by the address of their sockets.
struct Fleet
{
  net::Loop mLoop{ 1 };
  SystemClock mClock;
  MemoryAsyncStore mStore;
  std::vector<std::string> mAddresses;
};

/// An instance with its own socket on the loopback interface.
struct Instance
{
  Instance(Fleet& aFleet, const std::string& aName)
    : mSocket(aFleet.mLoop, aFleet.mClock, mMetrics)
    , mAddress(testing::FreeLoopbackAddress(aFleet.mLoop))
    , mKeepers(
        mAddress,
        [this, &aFleet] {
          auto out = aFleet.mAddresses;
          std::erase(out, mAddress);
          return out;
        },
        aFleet.mClock)
    , mGrants(aFleet.mLoop,
              aFleet.mStore,
              Settings(),
              { aName, "run-" + aName, "boot" },
              { [](const std::string&) {
                 return ConfiguredBudget{ kPrepaid, 1 };
               },
                [&aFleet] { return aFleet.mAddresses.size(); },
                [this] {
                  return mKeepers.IsKeeper(kBudget) ? std::vector{ kBudget }
                                                    : std::vector<std::string>();
                } },
              aFleet.mClock,
              mMetrics)
    , mExchange(aFleet.mLoop, mSocket, mKeepers, mGrants, aFleet.mClock, mMetrics)
  {
    CPPUNIT_ASSERT(mSocket.Start(mAddress)); // the next instance must not get the same port
    aFleet.mAddresses.push_back(mAddress);
  }

  void Start()
  {
    mExchange.Start();
    mGrants.Start();
  }

  /// No more messages are answered, as if the process had been killed.
  void Kill()
  {
    for (std::size_t n = 0; n < kPeerMessageKinds; ++n) {
      mSocket.SetHandler(static_cast<PeerMessageKind>(n), nullptr);
    }
  }

  Metrics mMetrics;
  PeerSocket mSocket;
  std::string mAddress;
  BudgetKeepers mKeepers;
  GrantManager mGrants;
  BudgetExchange mExchange;
};

/// A request of a caller and what became of it.
struct Request
{
  bool mIsDone = false;
  bool mIsAbandoned = false;
  TokenReservation mReservation;
  Micros mDuration{ 0 };
};

net::Task<void> Reserve(Fleet& aFleet, Instance& aInstance, Tokens aTokens, Request& aRequest)
{
  TokenRequest request;
  request.mBudget = kBudget;
  request.mTokens = aTokens;
  request.mMaxWait = Millis(700);
  request.mLifetime = Millis(2'000);
  request.mSignal = std::make_shared<net::Signal>(aFleet.mLoop);
  request.mIsAbandoned = [&aRequest] { return aRequest.mIsAbandoned; };
  const auto begin = aFleet.mClock.Now();
  aRequest.mReservation = co_await aInstance.mExchange.Reserve(std::move(request));
  aRequest.mDuration = aFleet.mClock.Now() - begin;
  aRequest.mIsDone = true;
}

} // namespace

class BudgetExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BudgetExchangeTest);
  CPPUNIT_TEST(TestLargeFleet);
  CPPUNIT_TEST(TestKeeperHasEnded);
  CPPUNIT_TEST(TestAbandonedRequest);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestMessages);
  CPPUNIT_TEST(TestTimesOutOfRange);
  CPPUNIT_TEST_SUITE_END();

  Fleet mFleet;
  std::vector<std::unique_ptr<Instance>> mInstances;

  void StartFleet(int aSize)
  {
    for (int n = 0; n < aSize; ++n) {
      mInstances.push_back(std::make_unique<Instance>(mFleet, "i" + std::to_string(n)));
    }
    for (const auto& it : mInstances) {
      it->Start();
    }
    Run([&] {
      return std::all_of(mInstances.begin(), mInstances.end(), [](const auto& it) {
        return it->mGrants.Rounds() > 1 || !it->mKeepers.IsKeeper(kBudget);
      });
    });
  }

  template<typename Condition>
  void Run(Condition aCondition)
  {
    CPPUNIT_ASSERT(testing::RunUntil(mFleet.mLoop, aCondition));
  }

  Request ReserveOnce(Instance& aInstance, Tokens aTokens)
  {
    Request out;
    net::Start(mFleet.mLoop, "request", Reserve(mFleet, aInstance, aTokens, out));
    Run([&] { return out.mIsDone; });
    return out;
  }

  Instance& InstanceAt(const std::string& aAddress)
  {
    return **std::find_if(mInstances.begin(), mInstances.end(), [&](const auto& it) {
      return it->mAddress == aAddress;
    });
  }

  Instance& OtherInstance()
  {
    return **std::find_if(mInstances.begin(), mInstances.end(), [](const auto& it) {
      return !it->mKeepers.IsKeeper(kBudget);
    });
  }

  /// Tokens that keepers hold for requests which have not ended.
  Tokens Reserved() const
  {
    Tokens out = 0;
    for (const auto& it : mInstances) {
      const auto holding = it->mGrants.Holdings().find(kBudget);
      out += holding == it->mGrants.Holdings().end() ? 0 : holding->second.mReserved;
    }
    return out;
  }

public:
  // Each instance held a small piece of the budget: requests were refused although most of it was
  // unspent, and the record had as many writers as the fleet has instances.
  void TestLargeFleet()
  {
    constexpr int kInstances = 75;
    constexpr Tokens kLargeRequest = kPrepaid / 10;
    constexpr std::size_t kServable = 9; // what is left for the tenth may be held by two keepers
    StartFleet(kInstances);
    const auto commitsBefore = mFleet.mStore.mCommitCalls;
    for (std::size_t n = 0; n < kServable; ++n) {
      auto& instance = *mInstances.at(n * 8);
      const auto request = ReserveOnce(instance, kLargeRequest);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("request " + std::to_string(n),
                                   static_cast<int>(ReservationOutcome::Reserved),
                                   static_cast<int>(request.mReservation.mOutcome));
      instance.mExchange.Settle(request.mReservation, kLargeRequest);
    }
    Run([&] { return Reserved() == 0; });
    const auto writers = std::count_if(mInstances.begin(), mInstances.end(), [](const auto& it) {
      return !it->mGrants.Holdings().empty();
    });
    CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(BudgetKeepers::kKeepers), writers);
    constexpr int kCommitsPerRequest = 4; // a draw and the next report, and a conflict of each
    CPPUNIT_ASSERT_LESSEQUAL(static_cast<int>(kServable) * kCommitsPerRequest,
                             mFleet.mStore.mCommitCalls - commitsBefore);
    const auto request = ReserveOnce(*mInstances.front(), 2 * kLargeRequest);
    CPPUNIT_ASSERT_MESSAGE("more than was prepaid",
                           request.mReservation.mOutcome != ReservationOutcome::Reserved);
  }

  // Callers at all instances depend on the keepers, which may end at any time.
  void TestKeeperHasEnded()
  {
    StartFleet(5);
    auto& instance = OtherInstance();
    const auto first = ReserveOnce(instance, 100).mReservation;
    CPPUNIT_ASSERT(!first.mKeeper.empty());
    InstanceAt(first.mKeeper).Kill();
    const auto second = ReserveOnce(instance, 100);
    CPPUNIT_ASSERT(second.mReservation.mOutcome == ReservationOutcome::Reserved);
    CPPUNIT_ASSERT(second.mReservation.mKeeper != first.mKeeper);
    CPPUNIT_ASSERT(second.mDuration < Millis(700));
    const auto third = ReserveOnce(instance, 100);
    CPPUNIT_ASSERT_MESSAGE("the ended keeper is not waited for again",
                           third.mDuration < Millis(150));
    InstanceAt(second.mReservation.mKeeper).Kill();
    const auto fourth = ReserveOnce(instance, 100).mReservation;
    CPPUNIT_ASSERT(fourth.mOutcome == ReservationOutcome::Reserved);
    CPPUNIT_ASSERT_MESSAGE("drawn without a keeper", fourth.mKeeper.empty());
  }

  // A caller that leaves while its request waits must not leave tokens reserved.
  void TestAbandonedRequest()
  {
    StartFleet(5);
    auto& instance = OtherInstance();
    Request request;
    request.mIsAbandoned = true;
    net::Start(mFleet.mLoop, "request", Reserve(mFleet, instance, 100, request));
    Run([&] { return request.mIsDone; });
    CPPUNIT_ASSERT(request.mReservation.mOutcome == ReservationOutcome::Abandoned);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, request.mReservation.mTokens);
    Run([&] { return Reserved() == 0; });
  }

  // Requests at instances that hold nothing must be served from the keepers' reserve in an outage.
  void TestOutage()
  {
    StartFleet(5);
    auto& instance = OtherInstance();
    mFleet.mStore.mMode = StoreMode::Down;
    const auto request = ReserveOnce(instance, 100).mReservation;
    CPPUNIT_ASSERT(request.mOutcome == ReservationOutcome::Reserved);
    CPPUNIT_ASSERT(!request.mKeeper.empty());
    const auto tooLarge = ReserveOnce(instance, kPrepaid);
    CPPUNIT_ASSERT(tooLarge.mReservation.mOutcome == ReservationOutcome::Unavailable);
    CPPUNIT_ASSERT(tooLarge.mDuration <= Millis(800));
  }

  // A datagram that is cut or was not sent by an instance must not be taken for a message.
  void TestMessages()
  {
    ReservationMessage query;
    query.mId = 0xfedcba9876543210;
    query.mBudget = "organisation";
    query.mTokens = 54'000;
    query.mMaxWait = Millis(666);
    query.mLifetime = Millis(15'000);
    const auto bytes = EncodeReservation(query);
    const auto decoded = DecodeReservation(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(query.mId, decoded.value().mId);
    CPPUNIT_ASSERT_EQUAL(query.mBudget, decoded.value().mBudget);
    CPPUNIT_ASSERT_EQUAL(query.mTokens, decoded.value().mTokens);
    CPPUNIT_ASSERT(query.mMaxWait == decoded.value().mMaxWait);
    CPPUNIT_ASSERT(query.mLifetime == decoded.value().mLifetime);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      CPPUNIT_ASSERT(!DecodeReservation(std::string_view(bytes).substr(0, n)));
    }
    query.mTokens = -1;
    CPPUNIT_ASSERT_MESSAGE("negative number", !DecodeReservation(EncodeReservation(query)));
    query.mTokens = kMaxDatagramTokens;
    CPPUNIT_ASSERT(DecodeReservation(EncodeReservation(query)));
    query.mTokens = kMaxDatagramTokens + 1;
    CPPUNIT_ASSERT_MESSAGE("too many tokens", !DecodeReservation(EncodeReservation(query)));
  }

  // A timer counts nanoseconds: with the longest times that a message could state, it overflowed.
  void TestTimesOutOfRange()
  {
    constexpr Millis kLongest{ std::int64_t{ 1 } << 32 };
    struct Row
    {
      Millis mMaxWait;
      Millis mLifetime;
      bool mIsValid;
    };
    const Row rows[] = {
      { kLongest, kLongest, true },
      { kLongest + Millis(1), Millis(1), false },
      { Millis(1), kLongest + Millis(1), false },
      { Millis(-1), Millis(1), false },
      { Millis(1), Millis(-1), false },
    };
    for (const auto& row : rows) {
      ReservationMessage query;
      query.mBudget = "organisation";
      query.mMaxWait = row.mMaxWait;
      query.mLifetime = row.mLifetime;
      CPPUNIT_ASSERT_EQUAL(row.mIsValid, DecodeReservation(EncodeReservation(query)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetExchangeTest);

} // namespace gentianloom
