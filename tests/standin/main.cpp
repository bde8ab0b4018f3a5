#include "StandinServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace gentianloom::standin {

void Faults::Set(const Json& aValues)
{
  {
    const std::lock_guard lock(mMutex);
    mValues.update(aValues);
  }
  mChanged.notify_all();
}

bool Faults::Take(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  auto it = mValues.find(aName);
  if (it == mValues.end() || it->get<std::int64_t>() <= 0) {
    return false;
  }
  *it = it->get<std::int64_t>() - 1;
  return true;
}

std::int64_t Faults::Value(const std::string& aName) const
{
  const std::lock_guard lock(mMutex);
  return mValues.value(aName, std::int64_t{ 0 });
}

void Faults::WaitWhileOn(const std::string& aName)
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [&] { return mValues.value(aName, std::int64_t{ 0 }) == 0; });
}

std::string ReadBody(Poco::Net::HTTPServerRequest& aRequest)
{
  std::string out;
  Poco::StreamCopier::copyToString(aRequest.stream(), out);
  return out;
}

void SendJson(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody)
{
  const auto text = aBody.dump();
  aResponse.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  aResponse.setContentType("application/json");
  aResponse.setContentLength(static_cast<std::streamsize>(text.size()));
  aResponse.send() << text << std::flush;
}

void DropConnection(Poco::Net::HTTPServerRequest& aRequest)
{
  dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket().shutdown();
}

namespace {

constexpr int kMaxThreads = 4'096;
constexpr int kBacklog = 1'024;
constexpr int kStackBytes = 256 * 1024;

class RoleHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit RoleHandler(Role& aRole)
    : mRole(aRole)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    auto& faults = mRole.InjectedFaults();
    if (aRequest.getURI() == "/faults") {
      faults.Set(Json::parse(ReadBody(aRequest)));
      SendJson(aResponse, 200, Json::object());
      return;
    }
    if (aRequest.getURI() == "/healthz" || aRequest.getURI() == "/journal") {
      mRole.Handle(aRequest, aResponse);
      return;
    }
    // Only callers' requests are refused; polls of load do not decrement the fault.
    const bool isPoll = aRequest.getURI() == "/load" || aRequest.getURI().starts_with("/events");
    if (!isPoll && faults.Take("refuse")) {
      SendJson(aResponse, 503, { { "error", "injected refusal" } });
      return;
    }
    faults.WaitWhileOn("stallOn");
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.Value("delayMs")));
    try {
      mRole.Handle(aRequest, aResponse);
    } catch (const std::exception&) {
      DropConnection(aRequest);
    }
  }

private:
  Role& mRole;
};

class RoleHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit RoleHandlerFactory(Role& aRole)
    : mRole(aRole)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return new RoleHandler(mRole);
  }

private:
  Role& mRole;
};

std::unique_ptr<Role> MakeRole(const std::string& aRole, const StandinOptions& aOptions)
{
  if (aRole == "key-value") {
    return MakeKeyValueRole(aOptions);
  }
  if (aRole == "instance-list") {
    return MakeInstanceListRole(aOptions);
  }
  if (aRole == "weight-store") {
    return MakeWeightStoreRole(aOptions);
  }
  if (aRole == "engine") {
    return MakeEngineRole(aOptions);
  }
  if (aRole == "relay") {
    return MakeRelayRole(aOptions);
  }
  return aRole == "worker" ? MakeWorkerRole(aOptions) : nullptr;
}

int Serve(Role& aRole, const std::string& aListen, const std::string& aReadyFile)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(aListen), kBacklog);
  Poco::ThreadPool threads(2, kMaxThreads, 60, kStackBytes);
  auto params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kBacklog);
  Poco::Net::HTTPServer server(new RoleHandlerFactory(aRole), threads, socket, params);
  server.start();
  const Json ready = { { "address", socket.address().toString() } };
  if (!aReadyFile.empty()) {
    std::ofstream(aReadyFile) << ready << "\n";
  }
  std::cout << ready << std::endl;
  int n = 0;
  sigwait(&signals, &n);
  std::_Exit(0);
}

} // namespace
} // namespace gentianloom::standin

int main(int argc, char** argv)
{
  namespace po = boost::program_options;
  gentianloom::standin::StandinOptions settings;
  std::string role;
  std::string listen;
  std::string readyFile;
  po::options_description options("gentianloom-standin ROLE: a stand-in of the platform");
  options.add_options()(
    "role", po::value(&role), "key-value, instance-list, weight-store, engine, worker or relay")(
    "listen", po::value(&listen)->default_value("127.0.0.1:0"), "address")(
    "ready-file", po::value(&readyFile), "file to write the address to")(
    "name", po::value(&settings.mName), "name")("zone", po::value(&settings.mZone), "zone")(
    "seed", po::value(&settings.mSeed), "seed")(
    "token-micros", po::value(&settings.mTokenMicros), "time between tokens")(
    "first-token-micros", po::value(&settings.mFirstTokenMicros), "time to the first token")(
    "slots", po::value(&settings.mSlots), "maximum number of concurrent streams")(
    "lag-ms", po::value(&settings.mLagMs), "age of reports")(
    "checks-fencing", po::bool_switch(&settings.mChecksFencing), "reject old fencing tokens");
  po::positional_options_description positional;
  positional.add("role", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
  } catch (const po::error& ex) {
    std::cerr << ex.what() << "\n" << options;
    return 2;
  }
  const auto server = gentianloom::standin::MakeRole(role, settings);
  if (!server) {
    std::cerr << options;
    return 2;
  }
  return gentianloom::standin::Serve(*server, listen, readyFile);
}
