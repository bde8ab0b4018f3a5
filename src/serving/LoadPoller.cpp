#include "gentianloom/serving/LoadPoller.h"

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kMaxPollBackoff{ 8'000 };
constexpr int kNotFound = 404;
constexpr int kServerError = 500;

template<typename T>
T ValueOr(const Json& aObject, const char* aKey, T aDefault)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return aDefault;
  }
  if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() ? it->get<bool>() : aDefault;
  } else if constexpr (std::is_same_v<T, std::string>) {
    return it->is_string() ? it->get<std::string>() : aDefault;
  } else {
    return it->is_number_integer() ? it->get<T>() : aDefault;
  }
}

} // namespace

Result<LoadReport> ParseLoadReport(const std::string& aEndpoint, const std::string& aText)
{
  const auto json = Json::parse(aText, nullptr, false);
  const auto running = json.is_object() ? ValueOr<std::int64_t>(json, "running", -1) : -1;
  if (running < 0) {
    return MakeError(
      ErrorCode::EndpointFailed,
      Step::RequestPlace,
      aEndpoint,
      "the load report must be a JSON object with a non-negative integer \"running\"");
  }
  LoadReport out;
  out.mEndpoint = aEndpoint;
  out.mHasLoad = true;
  out.mRunning = running;
  out.mSlots = ValueOr<std::int64_t>(json, "slots", 0);
  out.mAge = Millis(std::max<std::int64_t>(0, ValueOr<std::int64_t>(json, "age_ms", 0)));
  out.mIsLeaving = ValueOr(json, "leaving", false);
  out.mRunId = ValueOr<std::string>(json, "run", "");
  out.mLastCacheEvent = ValueOr<std::int64_t>(json, "last_event", 0);
  return out;
}

std::vector<CacheEvent> ParseCacheEvents(const std::string& aText)
{
  std::vector<CacheEvent> out;
  const auto json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("events") || !json["events"].is_array()) {
    return out;
  }
  for (const auto& it : json["events"]) {
    if (!it.is_object() || !it.contains("hash") || !it["hash"].is_number_integer()) {
      continue;
    }
    out.push_back({ ValueOr<std::int64_t>(it, "sequence", 0),
                    it["hash"].get<std::uint64_t>(),
                    ValueOr(it, "stored", true) });
  }
  return out;
}

LoadPoller::LoadPoller(EndpointTable& aEndpoints,
                       ConfigurationSource aConfiguration,
                       const Settings& aSettings,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : mEndpoints(aEndpoints)
  , mConfiguration(std::move(aConfiguration))
  , mSettings(aSettings)
  , mClock(aClock)
  , mPollCounter(aMetrics.CounterOf("gentianloom_load_polls_total"))
  , mFailureCounter(aMetrics.CounterOf("gentianloom_load_poll_failures_total"))
{
}

LoadPoller::~LoadPoller()
{
  Stop();
}

void LoadPoller::Start()
{
  mThread = std::thread([this] { Run(); });
}

void LoadPoller::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void LoadPoller::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    const auto configuration = mConfiguration();
    if (configuration) {
      PollAll(*configuration);
    }
    lock.lock();
    mWake.wait_for(lock, mSettings.mRouting.mLoadPollInterval, [this] { return mIsStopping; });
  }
}

void LoadPoller::PollAll(const AcceptedConfiguration& aConfiguration)
{
  for (const auto& it : mEndpoints.PollTargets(aConfiguration, mSettings.mName, mSettings.mZone)) {
    {
      const std::lock_guard lock(mMutex);
      if (mIsStopping) {
        return;
      }
    }
    auto& backoff = mBackoffs[it.mName];
    if (mClock.Now() < backoff.mUntil) {
      continue;
    }
    mPollCounter.Add();
    if (it.mIsService ? PollService(it) : PollEngine(it)) {
      backoff = {};
      continue;
    }
    mFailureCounter.Add();
    backoff.mDelay =
      std::clamp(backoff.mDelay * 2, mSettings.mRouting.mLoadPollInterval, kMaxPollBackoff);
    backoff.mUntil = mClock.Now() + backoff.mDelay;
  }
}

bool LoadPoller::PollEngine(const PollTarget& aTarget)
{
  const auto timeout = mSettings.mRouting.mPollTimeout;
  auto response = CallHttp(aTarget.mAddress, { "GET", "/load" }, timeout, Step::RequestPlace);
  if (!response || response.value().mStatus >= kServerError) {
    return false;
  }
  LoadReport report;
  report.mEndpoint = aTarget.mName;
  if (response.value().mStatus != kNotFound) {
    auto parsed = ParseLoadReport(aTarget.mName, response.value().mBody);
    if (!parsed) {
      return false;
    }
    report = std::move(parsed.value());
  }
  const auto lastEvent = mEndpoints.LastCacheEventSequence(aTarget.mName, report.mRunId);
  if (report.mLastCacheEvent > lastEvent) {
    const auto path = "/events?after=" + std::to_string(lastEvent);
    auto events = CallHttp(aTarget.mAddress, { "GET", path }, timeout, Step::RequestPlace);
    if (events) {
      report.mEvents = ParseCacheEvents(events.value().mBody);
    }
  }
  mEndpoints.Update(report);
  return true;
}

bool LoadPoller::PollService(const PollTarget& aTarget)
{
  auto response = CallHttp(
    aTarget.mAddress, { "GET", "/healthz" }, mSettings.mRouting.mPollTimeout, Step::RequestPlace);
  if (!response || response.value().mStatus >= kServerError) {
    return false;
  }
  LoadReport report;
  report.mEndpoint = aTarget.mName;
  mEndpoints.Update(report);
  return true;
}

} // namespace gentianloom
