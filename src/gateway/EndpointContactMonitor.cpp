#include "gentianloom/gateway/EndpointContactMonitor.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/ConnectionProbe.h"
#include "gentianloom/net/Signal.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Interval at which the services are looked through.
constexpr Millis kInterval{ 100 };
/// An endpoint that does not accept a connection within this time is not reached.
constexpr Millis kConnectTimeout{ 300 };
/// Share of EndpointContactMonitor::kTrialInterval by which trials of instances differ.
constexpr double kTrialSpread = 0.5;

/// Results of connections that are opened at the same time.
struct Probes
{
  explicit Probes(net::Loop& aLoop)
    : mChanged(aLoop)
  {
  }

  std::size_t mPending = 0;
  bool mIsReached = false;
  net::Signal mChanged;
};

net::Task<void> RunProbe(net::Loop& aLoop, std::string aAddress, std::shared_ptr<Probes> aProbes)
{
  const bool isAccepted = co_await net::AcceptsConnection(aLoop, aAddress, kConnectTimeout);
  aProbes->mIsReached = aProbes->mIsReached || isAccepted;
  --aProbes->mPending;
  aProbes->mChanged.Notify();
}

} // namespace

EndpointContactMonitor::EndpointContactMonitor(net::Loop& aLoop,
                                               const EndpointRegistry& aEndpoints,
                                               EndpointContacts& aContacts,
                                               ConnectionPool& aConnections,
                                               const Clock& aClock,
                                               Metrics& aMetrics)
  : mLoop(aLoop)
  , mEndpoints(aEndpoints)
  , mContacts(aContacts)
  , mConnections(aConnections)
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void EndpointContactMonitor::Start()
{
  net::Start(mLoop, "endpoint contact", Run());
}

net::Task<void> EndpointContactMonitor::Run()
{
  while (true) {
    const auto now = mClock.Now();
    for (const auto& [service, it] : mContacts) {
      if (!it.IsLost()) {
        OnRegained(service);
      }
      const bool isTrialDue = it.IsLost() && now >= mNextTrialAt[service];
      const bool isCheckDue = it.NeedsCheck(now) || isTrialDue;
      if (isCheckDue && !mChecking.contains(service)) {
        net::Start(mLoop, "endpoint check", CheckOnce(service));
      }
    }
    co_await net::Signal::Sleep(mLoop, kInterval);
  }
}

net::Task<void> EndpointContactMonitor::CheckOnce(std::string aService)
{
  co_await Check(std::move(aService));
}

net::Task<bool> EndpointContactMonitor::Check(std::string aService)
{
  auto& contact = mContacts[aService];
  const auto connectionsBefore = contact.Connections();
  const auto addresses = ChooseAddresses(aService, contact.IsLost() ? 1 : kEndpointsPerCheck);
  const auto probes = std::make_shared<Probes>(mLoop);
  probes->mPending = addresses.size();
  mChecking.insert(aService);
  for (const auto& it : addresses) {
    net::Start(mLoop, "endpoint probe", RunProbe(mLoop, it, probes));
  }
  while (probes->mPending > 0 && !probes->mIsReached) {
    co_await probes->mChanged.WaitFor(kConnectTimeout);
  }
  mChecking.erase(aService);
  if (probes->mIsReached || addresses.empty()) {
    // Without endpoints there is nothing that another instance could reach.
    contact.OnConnected();
    co_return true;
  }
  const auto spread = (1 - kTrialSpread / 2 + kTrialSpread * Jitter()) * kTrialInterval;
  mNextTrialAt[aService] = mClock.Now() + std::chrono::duration_cast<Micros>(spread);
  if (contact.OnNoneReached(connectionsBefore, mClock.Now())) {
    OnLost(aService);
  }
  co_return !contact.IsLost();
}

std::vector<std::string> EndpointContactMonitor::ChooseAddresses(std::string_view aService,
                                                                 std::size_t aCount) const
{
  std::vector<std::string> out;
  for (const auto& [id, it] : mEndpoints.All()) {
    if (it->mEntry.mService == aService && it->AcceptsRequests()) {
      out.push_back(it->mEntry.mAddress);
    }
  }
  const auto first = static_cast<std::ptrdiff_t>(Jitter() * static_cast<double>(out.size()));
  std::rotate(out.begin(), out.begin() + first, out.end());
  out.resize(std::min(out.size(), aCount));
  return out;
}

void EndpointContactMonitor::OnLost(const std::string& aService)
{
  mLost.insert(aService);
  // Connections that went silent would hold up the first requests after contact is regained.
  for (const auto& [id, it] : mEndpoints.All()) {
    if (it->mEntry.mService == aService) {
      mConnections.CloseIdle(id);
    }
  }
  mMetrics.CounterOf("gentianloom_endpoint_contact_lost_total").Add();
  LogChange(LogLevel::Warning,
            "endpoints",
            "no endpoint of a service can be reached; other instances are asked to serve",
            { { "service", aService } });
}

void EndpointContactMonitor::OnRegained(const std::string& aService)
{
  if (mLost.erase(aService) > 0) {
    LogChange(LogLevel::Info,
              "endpoints",
              "endpoints of a service can be reached again",
              { { "service", aService } });
  }
}

} // namespace gentianloom
