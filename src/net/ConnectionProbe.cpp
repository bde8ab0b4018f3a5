#include "gentianloom/net/ConnectionProbe.h"

#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/Signal.h"

namespace gentianloom::net {

namespace {

/// What a probed connection has to do.
enum class Expectation
{
  IsAccepted,
  StaysOpen
};

/// Waits while the channel is in a state, for at most a time.
Task<void> WaitWhile(const Channel& aChannel,
                     Signal& aSignal,
                     ChannelState aState,
                     std::chrono::steady_clock::time_point aDeadline)
{
  while (aChannel.State() == aState) {
    const auto left =
      std::chrono::duration_cast<Micros>(aDeadline - std::chrono::steady_clock::now());
    if (left <= Micros(0)) {
      break;
    }
    co_await aSignal.WaitFor(left);
  }
}

/// Opens a connection within a time, and waits for as long whether it stays open if it has to.
Task<bool> Probe(Loop& aLoop, std::string aAddress, Millis aTimeout, Expectation aExpectation)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    co_return false;
  }
  const auto signal = std::make_shared<Signal>(aLoop);
  const auto channel = Channel::Connect(aLoop, address.value());
  channel->SetListener(signal);
  const auto start = std::chrono::steady_clock::now();
  co_await WaitWhile(*channel, *signal, ChannelState::Connecting, start + aTimeout);
  if (aExpectation == Expectation::StaysOpen) {
    co_await WaitWhile(
      *channel, *signal, ChannelState::Open, std::chrono::steady_clock::now() + aTimeout);
  }
  const bool isOpen = channel->IsUsable();
  channel->SetListener(nullptr);
  channel->Close();
  co_return isOpen;
}

} // namespace

Task<bool> AcceptsConnection(Loop& aLoop, std::string aAddress, Millis aTimeout)
{
  return Probe(aLoop, std::move(aAddress), aTimeout, Expectation::IsAccepted);
}

Task<bool> KeepsConnectionOpen(Loop& aLoop, std::string aAddress, Millis aTimeout)
{
  return Probe(aLoop, std::move(aAddress), aTimeout, Expectation::StaysOpen);
}

} // namespace gentianloom::net
