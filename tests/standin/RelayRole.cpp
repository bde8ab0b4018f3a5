#include "StandinServer.h"

#include "gentianloom/external/HttpCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <list>
#include <thread>

namespace gentianloom::standin {

namespace {

constexpr std::size_t kBlockBytes = 16 * 1024;
constexpr long kPollMicros = 20'000;

/// Direction of bytes through a relay.
enum class Direction
{
  ToTarget,
  FromTarget
};

/**
 * @brief A TCP proxy that can simulate a partition: `cutOn` in both directions, `cutToOn` towards
 *        the target only, `cutFromOn` from the target only.
 *
 * During a cut nothing is closed: bytes are held back and forwarded afterwards, and new connections
 * get no response. `POST /target` sets the target's address; `GET /address` returns the address on
 * which the proxy listens.
 */
class RelayRole final : public Role
{
public:
  RelayRole()
    : mListener(Poco::Net::SocketAddress("127.0.0.1", 0), 128)
  {
    std::thread([this] { AcceptAll(); }).detach();
  }

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    if (aRequest.getURI() == "/target") {
      const auto body = Json::parse(ReadBody(aRequest));
      const std::lock_guard lock(mMutex);
      mTarget = body.at("address").get<std::string>();
      SendJson(aResponse, 200, Json::object());
      return;
    }
    SendJson(aResponse, 200, { { "address", mListener.address().toString() } });
  }

private:
  std::string Target()
  {
    const std::lock_guard lock(mMutex);
    return mTarget;
  }

  void AcceptAll()
  {
    while (true) {
      try {
        std::thread([this, peer = mListener.acceptConnection()] { Serve(peer); }).detach();
      } catch (const Poco::Exception&) {
        continue;
      }
    }
  }

  void Serve(Poco::Net::StreamSocket aCaller)
  {
    try {
      WaitUncut(Direction::ToTarget);
      Poco::Net::StreamSocket target{ Poco::Net::SocketAddress(Target()) };
      target.setNoDelay(true);
      aCaller.setNoDelay(true);
      std::thread back([this, target, aCaller] { Pump(target, aCaller, Direction::FromTarget); });
      Pump(aCaller, target, Direction::ToTarget);
      back.join();
    } catch (const Poco::Exception&) {
      aCaller.close();
    }
  }

  void WaitUncut(Direction aDirection)
  {
    const auto* const one = aDirection == Direction::ToTarget ? "cutToOn" : "cutFromOn";
    mFaults.WaitWhileOn("cutOn");
    mFaults.WaitWhileOn(one);
  }

  void Pump(Poco::Net::StreamSocket aFrom, Poco::Net::StreamSocket aTo, Direction aDirection)
  {
    std::array<char, kBlockBytes> buf{};
    try {
      while (true) {
        WaitUncut(aDirection);
        if (!aFrom.poll(Poco::Timespan(kPollMicros), Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        WaitUncut(aDirection);
        const int n = aFrom.receiveBytes(buf.data(), buf.size());
        if (n <= 0) {
          break;
        }
        aTo.sendBytes(buf.data(), n);
      }
      aTo.shutdownSend();
    } catch (const Poco::Exception&) {
      Close(aFrom);
      Close(aTo);
    }
  }

  static void Close(Poco::Net::StreamSocket& aSocket)
  {
    try {
      aSocket.shutdown();
    } catch (const Poco::Exception&) {
      return;
    }
  }

  Poco::Net::ServerSocket mListener;
  std::mutex mMutex;
  std::string mTarget;
};

} // namespace

std::unique_ptr<Role> MakeRelayRole(const StandinOptions& /*aOptions*/)
{
  return std::make_unique<RelayRole>();
}

} // namespace gentianloom::standin
