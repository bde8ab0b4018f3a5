#include "Processes.h"

#include "gentianloom/base/File.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/external/HttpCall.h"
#include "gentianloom/settings/Settings.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gentianloom::bench {

namespace {

constexpr Millis kStartTimeout{ 20'000 };
constexpr Millis kStopTimeout{ 20'000 };
constexpr Millis kCallTimeout{ 30'000 };
constexpr Millis kPause{ 10 };
constexpr double kKilobytesPerMegabyte = 1024;

std::string ProgramFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

pid_t Spawn(const std::vector<std::string>& aCommand, const std::string& aLog)
{
  std::vector<char*> words;
  words.reserve(aCommand.size() + 1);
  for (const auto& it : aCommand) {
    words.push_back(const_cast<char*>(it.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : { STDOUT_FILENO, STDERR_FILENO }) {
    posix_spawn_file_actions_addopen(
      &actions, fd, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  pid_t pid = 0;
  const int ec = posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    throw std::runtime_error("cannot start " + aCommand[0]);
  }
  return pid;
}

} // namespace

ProcessUse BenchProcess::Use() const
{
  const auto folder = "/proc/" + std::to_string(mPid);
  std::ifstream stat(folder + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int n = 0; n < kFieldsBeforeTimes; ++n) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  ProcessUse out;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  out.mCpuSeconds = (user + system) / ticks;
  out.mSystemSeconds = system / ticks;
  std::ifstream status(folder + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      out.mResidentMegabytes = std::stod(line.substr(6)) / kKilobytesPerMegabyte;
    }
  }
  return out;
}

Processes::Processes()
  : mFolder(std::filesystem::temp_directory_path() / MakeId("gentianloom-bench"))
{
  std::filesystem::create_directories(mFolder);
}

Processes::~Processes()
{
  // Processes end in reverse order, so that routers shut down while the platform still responds.
  for (auto it = mProcesses.rbegin(); it != mProcesses.rend(); ++it) {
    kill(it->mPid, SIGCONT);
    kill(it->mPid, SIGTERM);
    // A second signal ends a draining router at once.
    kill(it->mPid, SIGINT);
  }
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  for (const auto& it : mProcesses) {
    int status = 0;
    while (waitpid(it.mPid, &status, WNOHANG) == 0) {
      if (std::chrono::steady_clock::now() > end) {
        kill(it.mPid, SIGKILL);
      }
      std::this_thread::sleep_for(kPause);
    }
  }
  std::error_code ec;
  std::filesystem::remove_all(mFolder, ec);
}

const BenchProcess& Processes::Start(const std::string& aName,
                                     const std::vector<std::string>& aCommand)
{
  const auto ready = mFolder + "/" + aName + ".ready";
  BenchProcess process{ aName, Spawn(aCommand, mFolder + "/" + aName + ".log"), "", "" };
  mProcesses.push_back(process);
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto text = ReadFile(ready, Step::Settings);
    const auto json = Json::parse(text ? text.value() : "", nullptr, false);
    if (json.is_object()) {
      mProcesses.back().mAddress = json["address"].get<std::string>();
      mProcesses.back().mPeerAddress = json.value("peerAddress", "");
      return mProcesses.back();
    }
    std::this_thread::sleep_for(kPause);
  }
  const auto log = ReadFile(mFolder + "/" + aName + ".log", Step::Settings);
  throw std::runtime_error(aName + " did not start: " + (log ? log.value() : ""));
}

const BenchProcess& Processes::StartStandin(const std::string& aRole,
                                            const std::string& aName,
                                            const std::vector<std::string>& aArguments)
{
  std::vector<std::string> command = {
    ProgramFolder() + "/gentianloom-standin", aRole, "--name", aName, "--ready-file",
    mFolder + "/" + aName + ".ready"
  };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  return Start(aName, command);
}

const BenchProcess& Processes::StartRouter(const std::string& aName, Json aSettings)
{
  aSettings["name"] = aName;
  aSettings["readyFile"] = mFolder + "/" + aName + ".ready";
  const auto file = mFolder + "/" + aName + ".json";
  std::ofstream(file) << aSettings.dump(2);
  return Start(aName, { ProgramFolder() + "/gentianloomd", "--settings", file });
}

void Processes::Signal(const std::string& aName, int aSignal)
{
  kill(Of(aName).mPid, aSignal);
}

const BenchProcess& Processes::Of(const std::string& aName) const
{
  const auto it = std::find_if(mProcesses.begin(), mProcesses.end(), [&](const auto& aProcess) {
    return aProcess.mName == aName;
  });
  if (it == mProcesses.end()) {
    throw std::runtime_error("no process " + aName);
  }
  return *it;
}

Json OperatorSettingsJson()
{
  return Json::array(
    { { { "name", "owner" }, { "role", "owner" }, { "keyDigest", KeyDigest(kOperatorKey) } } });
}

void ApplyConfiguration(const std::string& aRouter, const std::string& aText)
{
  HttpRequest request{ "PUT", "/admin/v1/configuration", aText };
  request.mHeaders = { { "Authorization", "Bearer " + std::string(kOperatorKey) } };
  const auto answer = CallHttp(aRouter, request, kCallTimeout, Step::ApplicationCommit);
  if (!answer || answer.value().mStatus != 200) {
    throw std::runtime_error("the configuration was refused: " +
                             (answer ? answer.value().mBody : ToString(answer.error().mError)));
  }
}

double Quantile(std::vector<double> aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0;
  }
  std::sort(aSamples.begin(), aSamples.end());
  const auto last = static_cast<double>(aSamples.size() - 1);
  return aSamples[static_cast<std::size_t>(std::lround(aQuantile * last))];
}

} // namespace gentianloom::bench
