#include "gentianloom/net/ConnectionProbe.h"

#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/Signal.h"

namespace gentianloom::net {

Task<bool> AcceptsConnections(Loop& aLoop, std::string aAddress, Millis aTimeout)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    co_return false;
  }
  const auto signal = std::make_shared<Signal>(aLoop);
  const auto channel = Channel::Connect(aLoop, address.value());
  channel->SetListener(signal);
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (channel->State() == ChannelState::Connecting) {
    const auto left =
      std::chrono::duration_cast<Micros>(deadline - std::chrono::steady_clock::now());
    if (left <= Micros(0)) {
      break;
    }
    co_await signal->WaitFor(left);
  }
  const bool isOpen = channel->IsUsable();
  channel->SetListener(nullptr);
  channel->Close();
  co_return isOpen;
}

} // namespace gentianloom::net
