#include "StandinServer.h"

namespace gentianloom::standin {

namespace {

/// The platform's list of instances. `PUT /instances` replaces it; readers see that after a lag.
class InstanceListRole final : public Role
{
public:
  explicit InstanceListRole(const StandinOptions& aOptions)
    : mLag(aOptions.mLagMs)
  {
  }

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    if (aRequest.getURI() != "/instances") {
      SendJson(aResponse, aRequest.getURI() == "/healthz" ? 200 : 404, Json::object());
      return;
    }
    if (aRequest.getMethod() == "PUT") {
      const auto body = Json::parse(ReadBody(aRequest));
      const std::lock_guard lock(mMutex);
      mVersions.emplace_back(std::chrono::steady_clock::now(), body);
      SendJson(aResponse, 200, Json::object());
      return;
    }
    SendJson(aResponse, 200, Visible());
  }

private:
  Json Visible()
  {
    const std::lock_guard lock(mMutex);
    Json out = { { "instances", Json::array() } };
    for (const auto& [since, body] : mVersions) {
      if (std::chrono::steady_clock::now() - since >= mLag) {
        out = body;
      }
    }
    return out;
  }

  std::chrono::milliseconds mLag;
  std::mutex mMutex;
  std::vector<std::pair<std::chrono::steady_clock::time_point, Json>> mVersions;
};

/// A weight store that grants at most one permit per `permitIntervalMs`, which is set as a fault.
class WeightStoreRole final : public Role
{
public:
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    if (aRequest.getURI() == "/journal") {
      SendJson(aResponse, 200, { { "loads", mLoads.load() } });
      return;
    }
    if (aRequest.getURI() == "/permits") {
      GrantPermit(aResponse);
      return;
    }
    if (aRequest.getURI().starts_with("/weights/")) {
      ++mLoads;
      SendJson(aResponse, 200, { { "weights", aRequest.getURI().substr(9) } });
      return;
    }
    SendJson(aResponse, aRequest.getURI() == "/healthz" ? 200 : 404, Json::object());
  }

private:
  void GrantPermit(Poco::Net::HTTPServerResponse& aResponse)
  {
    constexpr int kTooMany = 429;
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mMutex);
    if (now < mNextPermit) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(mNextPermit - now);
      SendJson(aResponse, kTooMany, { { "retry_after_ms", left.count() } });
      return;
    }
    mNextPermit = now + std::chrono::milliseconds(mFaults.Value("permitIntervalMs"));
    ++mLoads;
    SendJson(aResponse, 200, Json::object());
  }

  std::mutex mMutex;
  std::chrono::steady_clock::time_point mNextPermit{};
  std::atomic<std::int64_t> mLoads{ 0 };
};

} // namespace

std::unique_ptr<Role> MakeInstanceListRole(const StandinOptions& aOptions)
{
  return std::make_unique<InstanceListRole>(aOptions);
}

std::unique_ptr<Role> MakeWeightStoreRole(const StandinOptions& /*aOptions*/)
{
  return std::make_unique<WeightStoreRole>();
}

} // namespace gentianloom::standin
