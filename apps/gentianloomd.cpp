#include "gentianloom/base/File.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/base/Version.h"
#include "gentianloom/serving/Router.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

constexpr int kExitBadSettings = 2;

int WaitForSignal(const sigset_t& aSignals)
{
  int signalNumber = 0;
  sigwait(&aSignals, &signalNumber);
  return signalNumber;
}

int RunRouter(const std::string& aSettingsFile)
{
  // This thread receives the signals through sigwait(); all later threads inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const auto text = gentianloom::ReadFile(aSettingsFile, gentianloom::Step::Settings);
  if (!text) {
    std::cerr << ToString(text.error()) << "\n";
    return kExitBadSettings;
  }
  const auto parsed = gentianloom::ParseSettings(text.value(), aSettingsFile);
  for (const auto& it : parsed.mErrors) {
    std::cerr << ToString(it) << "\n";
  }
  if (!parsed.mErrors.empty()) {
    return kExitBadSettings;
  }
  gentianloom::StartLog(parsed.mSettings.mName);
  auto router = gentianloom::Router::Create(parsed.mSettings);
  if (!router) {
    std::cerr << ToString(router.error()) << "\n";
    return kExitBadSettings;
  }
  const auto started = router.value()->Start();
  if (!started) {
    std::cerr << ToString(started.error()) << "\n";
    return kExitBadSettings;
  }
  WaitForSignal(signals);
  std::thread secondSignal([&signals, &router] {
    WaitForSignal(signals);
    router.value()->SkipDrainWaits();
  });
  secondSignal.detach();
  router.value()->Shutdown();
  std::cerr.flush();
  std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
  namespace po = boost::program_options;
  po::options_description options("gentianloomd: the router daemon. Options");
  options.add_options()("help", "print this help")("version", "print the version")(
    "settings", po::value<std::string>(), "settings file (JSON with comments)");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    if (values.count("version") != 0) {
      std::cout << gentianloom::kVersion << "\n";
      return 0;
    }
    if (values.count("settings") == 0) {
      std::cerr << "gentianloomd: --settings FILE is missing\n" << options;
      return kExitBadSettings;
    }
    return RunRouter(values["settings"].as<std::string>());
  } catch (const po::error& ex) {
    std::cerr << "gentianloomd: " << ex.what() << "\n" << options;
    return kExitBadSettings;
  }
}
