#include "gentianloom/gateway/TrafficLog.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/Signal.h"

#include <utility>

namespace gentianloom {

namespace {

constexpr Millis kInterval{ 5'000 };

/// Returns what was counted since the last call with the same second argument.
net::Traffic TakeNew(const net::Traffic& aNow, net::Traffic& aLast)
{
  const net::Traffic out{ aNow.mSent - aLast.mSent,
                          aNow.mReceived - aLast.mReceived,
                          aNow.mConnections - aLast.mConnections };
  aLast = aNow;
  return out;
}

} // namespace

TrafficLog::TrafficLog(net::Loop& aLoop, Sources aSources, Metrics& aMetrics)
  : mLoop(aLoop)
  , mSources(std::move(aSources))
  , mMetrics(aMetrics)
{
}

void TrafficLog::Start()
{
  net::Start(mLoop, "traffic log", Run());
}

net::Task<void> TrafficLog::Run()
{
  net::BodyBytes lastStore;
  net::BodyBytes lastPeers;
  StoreCalls lastCalls;
  BudgetWrites lastWrites;
  while (true) {
    co_await net::Signal::Sleep(mLoop, kInterval);
    const auto store = mSources.mStore();
    const auto peers = mSources.mPeers();
    const auto calls = mSources.mCalls();
    const auto writes = CountBudgetWrites();
    SetGauges("gentianloom_store_bytes", store);
    SetGauges("gentianloom_load_news_bytes", peers);
    LogChange(
      LogLevel::Info,
      "net",
      "network traffic since the last such line",
      { { "store_sent_bytes", std::to_string(store.mSent - lastStore.mSent) },
        { "store_received_bytes", std::to_string(store.mReceived - lastStore.mReceived) },
        { "peers_sent_bytes", std::to_string(peers.mSent - lastPeers.mSent) },
        { "peers_received_bytes", std::to_string(peers.mReceived - lastPeers.mReceived) },
        { "open_requests", std::to_string(mSources.mOpenRequests()) },
        { "store_reads", std::to_string(calls.mReads - lastCalls.mReads) },
        { "store_watches", std::to_string(calls.mWatches - lastCalls.mWatches) },
        { "store_transactions", std::to_string(calls.mTransactions - lastCalls.mTransactions) },
        { "store_leases", std::to_string(calls.mLeases - lastCalls.mLeases) },
        { "budget_writes", std::to_string(writes.mAll - lastWrites.mAll) },
        { "budget_conflicts", std::to_string(writes.mConflicts - lastWrites.mConflicts) } });
    LogConnections();
    lastStore = store;
    lastPeers = peers;
    lastCalls = calls;
    lastWrites = writes;
  }
}

void TrafficLog::LogConnections()
{
  const auto callers = TakeNew(mSources.mCallers, mLastCallers);
  const auto endpoints = TakeNew(mSources.mEndpoints, mLastEndpoints);
  const auto instances = TakeNew(mSources.mInstances, mLastInstances);
  const auto delay = std::chrono::duration_cast<Millis>(mSources.mTakeLongestLoopDelay());
  const auto peerQueue = std::chrono::duration_cast<Millis>(mSources.mTakeLongestPeerQueue());
  const auto oldestView = mSources.mTakeOldestView();
  mMetrics.GaugeOf("gentianloom_peer_queue_milliseconds").Set(peerQueue.count());
  const auto pauses = mMetrics.CounterOf("gentianloom_accept_pauses_total").Value();
  SetGauges("gentianloom_caller_bytes", mSources.mCallers);
  SetGauges("gentianloom_endpoint_bytes", mSources.mEndpoints);
  SetGauges("gentianloom_forwarding_bytes", mSources.mInstances);
  LogChange(LogLevel::Info,
            "net",
            "connections since the last such line",
            { { "caller_connections", std::to_string(callers.mConnections) },
              { "caller_sent_bytes", std::to_string(callers.mSent) },
              { "caller_received_bytes", std::to_string(callers.mReceived) },
              { "endpoint_connections", std::to_string(endpoints.mConnections) },
              { "endpoint_sent_bytes", std::to_string(endpoints.mSent) },
              { "endpoint_received_bytes", std::to_string(endpoints.mReceived) },
              { "forwarding_connections", std::to_string(instances.mConnections) },
              { "forwarding_sent_bytes", std::to_string(instances.mSent) },
              { "forwarding_received_bytes", std::to_string(instances.mReceived) },
              { "accept_pauses", std::to_string(pauses - std::exchange(mLastPauses, pauses)) },
              { "longest_loop_delay_ms", std::to_string(delay.count()) },
              { "longest_peer_queue_ms", std::to_string(peerQueue.count()) },
              { "oldest_view_ms", std::to_string(oldestView.count()) } });
}

TrafficLog::BudgetWrites TrafficLog::CountBudgetWrites()
{
  return { mMetrics.CounterOf("gentianloom_budget_writes_total").Value(),
           mMetrics.CounterOf("gentianloom_budget_conflicts_total").Value() };
}

void TrafficLog::SetGauges(const std::string& aName, const net::BodyBytes& aBytes)
{
  mMetrics.GaugeOf(aName, "direction=\"sent\"").Set(static_cast<std::int64_t>(aBytes.mSent));
  mMetrics.GaugeOf(aName, "direction=\"received\"")
    .Set(static_cast<std::int64_t>(aBytes.mReceived));
}

void TrafficLog::SetGauges(const std::string& aName, const net::Traffic& aTraffic)
{
  SetGauges(aName, net::BodyBytes{ aTraffic.mSent, aTraffic.mReceived });
}

} // namespace gentianloom
