#include "support/Fleet.h"

#include "gentianloom/base/File.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/settings/Settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <cppunit/TestAssert.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <spawn.h>
#include <sys/wait.h>

namespace gentianloom::testing {

namespace {

constexpr Millis kStartTimeout{ 60'000 };
constexpr Millis kRequestTimeout{ 20'000 };
constexpr Millis kPollInterval{ 20 };

std::string GetEnvironment(const char* aName)
{
  const char* it = std::getenv(aName);
  CPPUNIT_ASSERT_MESSAGE(std::string(aName) + " is not set; run the test with ctest",
                         it != nullptr);
  return it;
}

std::string ReadFileOrEmpty(const std::string& aPath)
{
  auto text = ReadFile(aPath, Step::Settings);
  return text ? text.value() : std::string();
}

pid_t Spawn(const std::vector<std::string>& aCommand)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const auto& it : aCommand) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, arguments[0], nullptr, nullptr, arguments.data(), environ);
  CPPUNIT_ASSERT_EQUAL(0, error);
  return pid;
}

} // namespace

bool WaitFor(const std::function<bool()>& aCondition, Millis aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return aCondition();
}

Fleet::Fleet(const FleetOptions& aOptions)
{
  const auto build = GetEnvironment("GENTIANLOOM_BUILD");
  mFolder = build + "/test-fleets/" + MakeId("fleet");
  std::filesystem::create_directories(mFolder + "/settings");
  std::ofstream(mFolder + "/settings/router.json")
    << (aOptions.mRouterSettings.empty() ? "{}" : aOptions.mRouterSettings);
  std::vector<std::string> command = { GetEnvironment("GENTIANLOOM_SOURCE") +
                                         "/scripts/local-fleet",
                                       "--build",
                                       build,
                                       "--folder",
                                       mFolder + "/run",
                                       "--settings",
                                       mFolder + "/settings",
                                       "--routers",
                                       std::to_string(aOptions.mRouters),
                                       "--engines",
                                       std::to_string(aOptions.mEngines),
                                       "--token-micros",
                                       std::to_string(aOptions.mTokenMicros) };
  if (aOptions.mRelays) {
    command.emplace_back("--relays");
  }
  mScriptPid = Spawn(command);
  const auto stateFile = mFolder + "/run/fleet.json";
  int exitStatus = 0;
  const auto startedOrFailed = [&] {
    return std::filesystem::exists(stateFile) ||
           waitpid(mScriptPid, &exitStatus, WNOHANG) == mScriptPid;
  };
  const bool isUp = WaitFor(startedOrFailed, kStartTimeout) && std::filesystem::exists(stateFile);
  CPPUNIT_ASSERT_MESSAGE("the fleet did not start", isUp);
  const auto state = Json::parse(ReadFileOrEmpty(stateFile));
  mOperatorKey = state["operatorKey"].get<std::string>();
  for (const auto& it : state["processes"]) {
    mProcesses.push_back({ it["role"].get<std::string>(),
                           it["name"].get<std::string>(),
                           it["pid"].get<pid_t>(),
                           it["address"].get<std::string>() });
  }
}

Fleet::~Fleet()
{
  for (const auto it : mRestartedPids) {
    kill(it, SIGTERM);
    waitpid(it, nullptr, 0);
  }
  kill(mScriptPid, SIGTERM);
  int exitStatus = 0;
  waitpid(mScriptPid, &exitStatus, 0);
}

const FleetProcess& Fleet::Process(const std::string& aName) const
{
  for (const auto& it : mProcesses) {
    if (it.mName == aName) {
      return it;
    }
  }
  CPPUNIT_FAIL("the fleet has no process " + aName);
  return mProcesses.front();
}

std::vector<FleetProcess> Fleet::Routers() const
{
  std::vector<FleetProcess> out;
  for (const auto& it : mProcesses) {
    if (it.mRole == "router") {
      out.push_back(it);
    }
  }
  return out;
}

void Fleet::Signal(const std::string& aName, int aSignal) const
{
  CPPUNIT_ASSERT_EQUAL(0, kill(Process(aName).mPid, aSignal));
}

bool Fleet::WaitForExit(const std::string& aName, Millis aTimeout) const
{
  // scripts/local-fleet reaps its processes only when it ends, so a zombie counts as exited.
  const auto path = "/proc/" + std::to_string(Process(aName).mPid) + "/stat";
  return WaitFor(
    [&] {
      const auto text = ReadFileOrEmpty(path);
      const auto at = text.rfind(')');
      return at == std::string::npos || text.substr(at + 2, 1) == "Z";
    },
    aTimeout);
}

void Fleet::Restart(const std::string& aName)
{
  const auto ready = mFolder + "/run/" + aName + ".ready";
  std::filesystem::remove(ready);
  const auto pid = Spawn({ GetEnvironment("GENTIANLOOM_BUILD") + "/bin/gentianloomd",
                           "--settings",
                           mFolder + "/run/" + aName + ".json" });
  mRestartedPids.push_back(pid);
  const bool isUp = WaitFor([&] { return std::filesystem::exists(ready); }, kStartTimeout);
  CPPUNIT_ASSERT_MESSAGE(aName + " did not restart", isUp);
  for (auto& it : mProcesses) {
    if (it.mName == aName) {
      it.mPid = pid;
      it.mAddress = Json::parse(ReadFileOrEmpty(ready))["address"].get<std::string>();
    }
  }
}

int Fleet::Apply(const std::string& aText) const
{
  HttpRequest request{ "PUT", "/admin/v1/configuration", aText };
  request.mHeaders = { { "Authorization", "Bearer " + mOperatorKey } };
  const auto response =
    CallHttp(Routers().front().mAddress, request, kRequestTimeout, Step::ApplicationCommit);
  CPPUNIT_ASSERT(response.has_value());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.value().mBody, 200, response.value().mStatus);
  return Json::parse(response.value().mBody)["version"].get<int>();
}

void Fleet::ApplyEverywhere(const std::string& aText) const
{
  const auto version = Apply(aText);
  for (const auto& it : Routers()) {
    const bool inForce =
      WaitFor([&] { return GetAdmin(it.mName, "/admin/v1/status").value("version", 0) >= version; },
              kRequestTimeout);
    CPPUNIT_ASSERT_MESSAGE("the configuration is not in force on " + it.mName, inForce);
  }
}

void Fleet::SetFaults(const std::string& aName, const Json& aFaults) const
{
  const auto response = CallHttp(Process(aName).mAddress,
                                 { "POST", "/faults", aFaults.dump() },
                                 kRequestTimeout,
                                 Step::Settings);
  CPPUNIT_ASSERT(response.has_value());
}

std::vector<Json> Fleet::JournalEntries() const
{
  std::vector<Json> out;
  for (const auto& process : mProcesses) {
    if (process.mRole != "engine" && process.mRole != "worker") {
      continue;
    }
    const auto response =
      CallHttp(process.mAddress, { "GET", "/journal" }, kRequestTimeout, Step::Settings);
    if (!response) {
      continue;
    }
    const auto journal = Json::parse(response.value().mBody);
    for (const auto& it : journal["entries"]) {
      out.push_back(it);
    }
  }
  return out;
}

Json Fleet::GetAdmin(const std::string& aRouter, const std::string& aPath) const
{
  HttpRequest request{ "GET", aPath };
  request.mHeaders = { { "Authorization", "Bearer " + mOperatorKey } };
  const auto response =
    CallHttp(Process(aRouter).mAddress, request, kRequestTimeout, Step::ApplicationSpread);
  return response ? Json::parse(response.value().mBody, nullptr, false) : Json::object();
}

namespace {

void ReadEvents(std::istream& aIn,
                const std::function<bool(const std::string&)>& aOnEvent,
                ChatResponse& aOut)
{
  constexpr std::string_view kPrefix = "data: ";
  std::string line;
  while (std::getline(aIn, line)) {
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    const auto data = line.substr(kPrefix.size());
    const auto json = Json::parse(data, nullptr, false);
    if (json.is_object() && json.contains("gentianloom")) {
      aOut.mBody = json;
      aOut.mOutcome = json["gentianloom"].value("outcome", "");
    }
    if (json.is_object() && json.contains("choices") && !json["choices"].empty()) {
      aOut.mText += json["choices"][0]["delta"].value("content", "");
    }
    if (aOnEvent && !aOnEvent(data)) {
      return;
    }
  }
}

} // namespace

Json MakeBody(const ChatCall& aCall)
{
  return { { "model", aCall.mModel },
           { "stream", aCall.mStream },
           { "max_tokens", aCall.mTokens },
           { "standin_tokens", aCall.mTokens },
           { "messages", Json::array({ { { "role", "user" }, { "content", aCall.mText } } }) } };
}

ChatResponse CallChat(const std::string& aAddress,
                      const ChatCall& aCall,
                      const std::function<bool(const std::string&)>& aOnEvent)
{
  ChatResponse out;
  const auto address = ParseAddress(aAddress).value();
  const auto body = MakeBody(aCall);
  try {
    Poco::Net::HTTPClientSession session(address.first, address.second);
    session.setTimeout(Poco::Timespan(std::chrono::microseconds(kRequestTimeout).count()));
    Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", "HTTP/1.1");
    request.set("Authorization", "Bearer " + aCall.mKey);
    for (const auto& [name, value] : aCall.mHeaders) {
      request.set(name, value);
    }
    const auto text = body.dump();
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    out.mStatus = response.getStatus();
    out.mResumeToken = response.get("Gentianloom-Resume", "");
    if (response.getContentType() == "text/event-stream") {
      ReadEvents(in, aOnEvent, out);
      return out;
    }
    std::string responseBody;
    Poco::StreamCopier::copyToString(in, responseBody);
    out.mBody = Json::parse(responseBody, nullptr, false);
    out.mOutcome = response.get("Gentianloom-Outcome", "");
    if (out.mStatus == 200) {
      out.mText = out.mBody["choices"][0]["message"].value("content", "");
    }
  } catch (const Poco::Exception&) {
    return out;
  }
  return out;
}

std::string ReadBragaExample()
{
  return ReadFileOrEmpty(GetEnvironment("GENTIANLOOM_SOURCE") + "/examples/braga.json");
}

} // namespace gentianloom::testing
