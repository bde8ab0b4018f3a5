#include "gentianloom/net/Channel.h"

#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace gentianloom::net {

class ChannelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(TestReleasedBeforeTasksRun);
  CPPUNIT_TEST_SUITE_END();

public:
  // A channel's coroutines first run after the current handler of the loop has returned. If they
  // held no reference to the channel, an owner that releases it earlier would leave them a dangling
  // pointer.
  void TestReleasedBeforeTasksRun()
  {
    Loop loop{ 1 };
    boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    auto channel = Channel::Connect(loop, acceptor.local_endpoint());
    const std::weak_ptr<Channel> connectedWatch = channel;
    channel->Close();
    channel = nullptr;
    CPPUNIT_ASSERT_MESSAGE("the channel must live until its coroutines have ended",
                           !connectedWatch.expired());
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return connectedWatch.expired(); }));

    auto accepted = Channel::Accepted(loop, boost::asio::ip::tcp::socket(loop));
    const std::weak_ptr<Channel> acceptedWatch = accepted;
    accepted->Close();
    accepted = nullptr;
    CPPUNIT_ASSERT_MESSAGE("the channel must live until its coroutines have ended",
                           !acceptedWatch.expired());
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return acceptedWatch.expired(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

} // namespace gentianloom::net
