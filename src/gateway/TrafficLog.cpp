#include "gentianloom/gateway/TrafficLog.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/Signal.h"

namespace gentianloom {

namespace {

constexpr Millis kInterval{ 5'000 };

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
    lastStore = store;
    lastPeers = peers;
    lastCalls = calls;
    lastWrites = writes;
  }
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

} // namespace gentianloom
