#include "gentianloom/gateway/GatewayDaemon.h"

#include "gentianloom/base/File.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/gateway/Gateway.h"
#include "gentianloom/net/HttpClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <iostream>

namespace gentianloom {

namespace {

constexpr int kExitBadSettings = 2;
/// How often the settings file is looked at for changes without a signal.
constexpr Millis kSettingsPoll{ 2'000 };

/// Keeps the settings of a running process in step with their file.
class SettingsWatch
{
public:
  SettingsWatch(std::string aFile, std::string aText, Gateway& aGateway)
    : mFile(std::move(aFile))
    , mText(std::move(aText))
    , mGateway(aGateway)
  {
  }

  void Check()
  {
    const auto text = ReadFile(mFile, Step::Settings);
    if (!text || text.value() == mText) {
      return; // while the file is replaced it may be away for a moment
    }
    mText = text.value();
    const auto parsed = ParseGatewaySettings(mText, mFile);
    for (const auto& it : parsed.mErrors) {
      LogChange(LogLevel::Error,
                "settings",
                "the changed settings are wrong; the old ones stay",
                { { "why", ToString(it) } });
    }
    if (parsed.mErrors.empty()) {
      mGateway.Reload(parsed.mSettings);
    }
  }

private:
  std::string mFile;
  std::string mText;
  Gateway& mGateway;
};

net::Task<void> WatchSignals(boost::asio::signal_set& aSignals,
                             Gateway& aGateway,
                             SettingsWatch& aSettings)
{
  while (true) {
    boost::system::error_code ec;
    const int n =
      co_await aSignals.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    if (n == SIGHUP) {
      aSettings.Check();
    } else {
      aGateway.Leave();
    }
  }
}

net::Task<void> PollSettings(net::Loop& aLoop, SettingsWatch& aSettings)
{
  while (true) {
    co_await net::Signal::Sleep(aLoop, kSettingsPoll);
    aSettings.Check();
  }
}

int Fail(const Error& aError)
{
  std::cerr << ToString(aError) << "\n";
  return kExitBadSettings;
}

} // namespace

int RunGateway(const std::string& aSettingsFile,
               const Deployment& aDeployment,
               const MakeStore& aMakeStore)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto text = ReadFile(aSettingsFile, Step::Settings);
  if (!text) {
    return Fail(text.error());
  }
  const auto parsed = ParseGatewaySettings(text.value(), aSettingsFile);
  for (const auto& it : parsed.mErrors) {
    std::cerr << ToString(it) << "\n";
  }
  if (!parsed.mErrors.empty()) {
    return kExitBadSettings;
  }
  const auto& settings = parsed.mSettings;
  StartLog(settings.mInstance);
  const auto storeAddress = net::ParseSocketAddress(settings.mStoreAddress);
  if (!storeAddress) {
    return Fail(storeAddress.error());
  }
  net::Loop loop(1);
  const BootClock clock;
  const auto store = aMakeStore(loop, storeAddress.value(), settings.mStoreAddress);
  Gateway gateway(loop, settings, aDeployment, *store, clock);
  const auto started = gateway.Start();
  if (!started) {
    return Fail(started.error());
  }
  SettingsWatch watch(aSettingsFile, text.value(), gateway);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  net::Start(loop, "signals", WatchSignals(signals, gateway, watch));
  net::Start(loop, "settings", PollSettings(loop, watch));
  loop.run();
  std::cout.flush();
  // Open coroutines are not unwound: their connections end with the process.
  std::_Exit(0);
}

} // namespace gentianloom
