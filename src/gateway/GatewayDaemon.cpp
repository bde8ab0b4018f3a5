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

#include <malloc.h>

namespace gentianloom {

namespace {

constexpr int kExitBadSettings = 2;
/// Interval at which the settings file is checked for changes, in addition to SIGHUP.
constexpr Millis kSettingsPollInterval{ 2'000 };

/// Blocks of at least this size are given back to the system when they are freed. The C library
/// would raise the size to that of the largest freed block, and keep the memory of bodies instead.
constexpr int kReturnedBlockBytes = 256 * 1'024;

/// Reloads the settings of a running process when their file changes.
class SettingsReloader
{
public:
  SettingsReloader(std::string aFile, std::string aText, Gateway& aGateway)
    : mFile(std::move(aFile))
    , mText(std::move(aText))
    , mGateway(aGateway)
  {
  }

  void ReloadIfChanged()
  {
    const auto text = ReadFile(mFile, Step::Settings);
    if (!text || text.value() == mText) {
      return; // unchanged, or unreadable, for example while the file is being replaced
    }
    mText = text.value();
    const auto parsed = ParseGatewaySettings(mText, mFile);
    for (const auto& it : parsed.mErrors) {
      LogChange(LogLevel::Error,
                "settings",
                "the changed settings are invalid; keeping the old ones",
                { { "error", ToString(it) } });
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

net::Task<void> HandleSignals(boost::asio::signal_set& aSignals,
                              Gateway& aGateway,
                              SettingsReloader& aReloader)
{
  while (true) {
    boost::system::error_code ec;
    const int n =
      co_await aSignals.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    if (n == SIGHUP) {
      aReloader.ReloadIfChanged();
    } else {
      aGateway.BeginShutdown();
    }
  }
}

net::Task<void> PollSettings(net::Loop& aLoop, SettingsReloader& aReloader)
{
  while (true) {
    co_await net::Signal::Sleep(aLoop, kSettingsPollInterval);
    aReloader.ReloadIfChanged();
  }
}

/// Prints an error and returns the exit status for it.
int ReportStartupError(const Error& aError)
{
  std::cerr << ToString(aError) << "\n";
  return kExitBadSettings;
}

} // namespace

int RunGateway(const std::string& aSettingsFile,
               const PlatformProtocol& aProtocol,
               const StoreFactory& aStoreFactory)
{
  std::signal(SIGPIPE, SIG_IGN);
  (void)mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  const auto text = ReadFile(aSettingsFile, Step::Settings);
  if (!text) {
    return ReportStartupError(text.error());
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
  for (const auto& it : parsed.mSkipped) {
    LogChange(LogLevel::Warning,
              "settings",
              "an item of the settings is malformed and is skipped",
              { { "error", ToString(it) } });
  }
  const auto storeAddress = net::ParseSocketAddress(settings.mStoreAddress);
  if (!storeAddress) {
    return ReportStartupError(storeAddress.error());
  }
  net::Loop loop(1);
  const BootClock clock;
  const auto store = aStoreFactory(loop, storeAddress.value(), settings.mStoreAddress, clock);
  Gateway gateway(loop, settings, aProtocol, *store, clock);
  const auto started = gateway.Start();
  if (!started) {
    return ReportStartupError(started.error());
  }
  SettingsReloader reloader(aSettingsFile, text.value(), gateway);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  net::Start(loop, "signals", HandleSignals(signals, gateway, reloader));
  net::Start(loop, "settings", PollSettings(loop, reloader));
  loop.run();
  std::cout.flush();
  // Exits without destroying suspended coroutines; the system closes their connections.
  std::_Exit(0);
}

} // namespace gentianloom
