#include "BenchReport.h"
#include "Processes.h"

#include "gentianloom/external/HttpCall.h"

#include <chrono>
#include <csignal>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace gentianloom::bench {

namespace {

constexpr int kFleets[] = { 3, 12, 24, 48, 96 };
constexpr double kTargetNodes = 720;
constexpr double kWindowSeconds = 15;
constexpr double kMostSeconds = 60;
constexpr Millis kCallTimeout{ 5'000 };
constexpr Millis kPause{ 20 };
constexpr double kTcpBytesPerMessage =
  300; ///< TCP/IP headers of a short connection, half of both directions
constexpr double kGoalCpuPercent = 1.2;
constexpr double kGoalMegabytes = 128;
constexpr double kGoalKilobytes = 30;
constexpr double kGoalSpreadSeconds = 19;

/// Figures of one router or fleet, by name.
using Figures = std::map<std::string, double>;

double Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string Get(const std::string& aAddress, const std::string& aPath)
{
  HttpRequest request{ "GET", aPath };
  request.mHeaders = { { "Authorization", "Bearer " + std::string(kOperatorKey) } };
  const auto answer = CallHttp(aAddress, request, kCallTimeout, Step::Settings);
  return answer ? answer.value().mBody : std::string();
}

/// Returns the value of an unlabelled metric; 0 if the router does not serve it.
double MetricOf(const std::string& aText, const std::string& aName)
{
  std::istringstream in(aText);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(aName + " ")) {
      return std::stod(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

/// @return seconds until the condition held, or -1 if it never did
template<typename F>
double SecondsUntil(const F& aCondition)
{
  const double begun = Now();
  while (Now() - begun < kMostSeconds) {
    if (aCondition()) {
      return Now() - begun;
    }
    std::this_thread::sleep_for(kPause);
  }
  return -1;
}

/// A fleet of routers on stand-ins of the platform, without callers.
class ControlFleet
{
public:
  explicit ControlFleet(int aRouters)
  {
    const auto store = mProcesses.StartStandin("key-value", "key-value", {}).mAddress;
    const auto list = mProcesses.StartStandin("instance-list", "instance-list", {}).mAddress;
    mStore = store;
    Json peers = Json::array();
    for (int n = 0; n < aRouters; ++n) {
      const auto name = "router-" + std::to_string(n + 1);
      const Json settings = { { "name", name },
                              { "zone", "zone-" + std::to_string(n % 4) },
                              { "listen", "127.0.0.1:0" },
                              { "peerListen", "127.0.0.1:0" },
                              { "keyValue", { { "addresses", { store } } } },
                              { "instanceList", { { "address", list } } },
                              { "operators", OperatorSettingsJson() },
                              { "peers", peers } };
      mRouters.push_back(mProcesses.StartRouter(name, settings));
      if (n == 0) {
        peers.push_back({ { "name", name }, { "address", mRouters.front().mPeerAddress } });
      }
    }
  }

  bool AllSee(std::size_t aOthers) const
  {
    for (const auto& it : mRouters) {
      const auto seen = MetricOf(Get(it.mAddress, "/metrics"), "gentianloom_membership_living");
      if (seen != static_cast<double>(aOthers)) {
        return false;
      }
    }
    return true;
  }

  double Spread(int aBudget)
  {
    const Json file = { { "deployment", "bench" },
                        { "budgets",
                          Json::array({ { { "name", "b" }, { "prepaidTokens", aBudget } } }) } };
    ApplyConfiguration(mRouters.front().mAddress, file.dump());
    const auto status = Json::parse(Get(mRouters.front().mAddress, "/admin/v1/status"));
    const auto version = status.value("version", 0);
    return SecondsUntil([&] {
      for (const auto& it : mRouters) {
        const auto json = Json::parse(Get(it.mAddress, "/admin/v1/status"), nullptr, false);
        if (!json.is_object() || json.value("version", 0) < version) {
          return false;
        }
      }
      return true;
    });
  }

  Figures Totals() const
  {
    Figures out;
    for (const auto& it : mRouters) {
      const auto text = Get(it.mAddress, "/metrics");
      out["messages"] += MetricOf(text, "gentianloom_membership_messages_total");
      out["bytes"] += MetricOf(text, "gentianloom_membership_bytes_total");
      out["suspicions"] += MetricOf(text, "gentianloom_membership_suspicions_total");
      const auto use = it.Use();
      out["cpu"] += use.mCpuSeconds;
      out["megabytes"] += use.mResidentMegabytes;
    }
    const auto journal = Json::parse(Get(mStore, "/journal"), nullptr, false);
    out["calls"] = journal.value("reads", 0.0) + journal.value("writes", 0.0);
    return out;
  }

  /// Kills one router. @return seconds until no other lists it as alive, or -1 if one still does
  double Notice()
  {
    const auto name = mRouters.back().mName;
    mRouters.pop_back();
    mProcesses.Signal(name, SIGKILL);
    return SecondsUntil([this] { return AllSee(mRouters.size() - 1); });
  }

  std::size_t Size() const { return mRouters.size(); }

private:
  Processes mProcesses;
  std::string mStore;
  std::vector<BenchProcess> mRouters;
};

Figures Measure(int aRouters, const BenchOptions& aOptions)
{
  ControlFleet fleet(aRouters);
  Figures out;
  out["nodes"] = aRouters;
  out["join s"] = SecondsUntil([&] { return fleet.AllSee(fleet.Size() - 1); });
  out["spread s"] = std::max(fleet.Spread(1'000), fleet.Spread(2'000));
  const auto before = fleet.Totals();
  const double begun = Now();
  std::this_thread::sleep_for(std::chrono::duration<double>(kWindowSeconds * aOptions.mScale));
  auto after = fleet.Totals();
  const double nodeSeconds = (Now() - begun) * aRouters;
  const auto rate = [&](const char* aName) {
    return (after[aName] - before.at(aName)) / nodeSeconds;
  };
  out["messages/s"] = rate("messages");
  out["KB/s"] = (rate("bytes") + rate("messages") * kTcpBytesPerMessage) / 1'000;
  out["CPU %"] = rate("cpu") * 100;
  out["MB"] = after["megabytes"] / aRouters;
  out["key-value calls/s"] = rate("calls");
  out["false suspicions/s"] = rate("suspicions");
  out["notice s"] = fleet.Notice();
  return out;
}

/// Extrapolates a figure linearly to the target's size. @return the value there, and the slope per
/// node
std::pair<double, double> AtTarget(const std::vector<Figures>& aRuns, const std::string& aName)
{
  double x = 0;
  double y = 0;
  for (const auto& it : aRuns) {
    x += it.at("nodes") / static_cast<double>(aRuns.size());
    y += it.at(aName) / static_cast<double>(aRuns.size());
  }
  double above = 0;
  double below = 0;
  for (const auto& it : aRuns) {
    above += (it.at("nodes") - x) * (it.at(aName) - y);
    below += (it.at("nodes") - x) * (it.at("nodes") - x);
  }
  const double slope = above / below;
  return { y + slope * (kTargetNodes - x), slope };
}

} // namespace

BenchReport RunControlBench(const BenchOptions& aOptions)
{
  BenchReport out;
  std::vector<Figures> runs;
  try {
    for (const int it : kFleets) {
      runs.push_back(Measure(it, aOptions));
      out.mRuns.push_back(runs.back());
    }
  } catch (const std::exception& ex) { // caught so that the processes are ended
    out.mRuns.push_back({ { "failed", ex.what() } });
    out.mGoals = { { "all fleets were measured", 1, 0, "", GoalSide::AtLeast } };
    return out;
  }
  Json line = { { "nodes", "line at 720" } };
  for (const auto& [name, value] : runs.front()) {
    if (name != "nodes") {
      const auto [at, slope] = AtTarget(runs, name);
      line[name] = { { "at", at }, { "slopePerNode", slope } };
    }
  }
  out.mRuns.push_back(line);
  const auto at = [&](const char* aName) { return AtTarget(runs, aName).first; };
  out.mGoals = {
    { "processor time of one core for control, at 720", kGoalCpuPercent, at("CPU %"), "%" },
    { "memory of a router, at 720", kGoalMegabytes, at("MB"), "MB" },
    { "membership traffic of a router, at 720", kGoalKilobytes, at("KB/s"), "KB/s" },
    { "accepted to in force everywhere, at 720", kGoalSpreadSeconds, at("spread s"), "s" },
  };
  return out;
}

} // namespace gentianloom::bench
