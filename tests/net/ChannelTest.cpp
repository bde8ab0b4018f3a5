#include "gentianloom/net/Channel.h"

#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace gentianloom::net {

class ChannelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(TestDroppedBeforeItsTasksRun);
  CPPUNIT_TEST_SUITE_END();

public:
  // The tasks of a channel run from the next turn of the loop on; its user may drop it before.
  void TestDroppedBeforeItsTasksRun()
  {
    Loop loop{ 1 };
    boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    auto channel = Channel::Connect(loop, acceptor.local_endpoint());
    const std::weak_ptr<Channel> watched = channel;
    channel->Close();
    channel = nullptr;
    CPPUNIT_ASSERT_MESSAGE("alive until its tasks have ended", !watched.expired());
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return watched.expired(); }));

    auto accepted = Channel::Accepted(loop, boost::asio::ip::tcp::socket(loop));
    const std::weak_ptr<Channel> other = accepted;
    accepted->Close();
    accepted = nullptr;
    CPPUNIT_ASSERT_MESSAGE("alive until its tasks have ended", !other.expired());
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return other.expired(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

} // namespace gentianloom::net
