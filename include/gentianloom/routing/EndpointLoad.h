#ifndef GENTIANLOOM_ROUTING_ENDPOINT_LOAD_H
#define GENTIANLOOM_ROUTING_ENDPOINT_LOAD_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/routing/LoadTrend.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace gentianloom {

/// One part of a prompt. An engine need not compute the first parts of a prompt again if it has
/// cached them for an earlier prompt that begins with the same parts.
struct PromptPart
{
  std::uint64_t mId = 0; ///< equal for parts with the same content
  std::int64_t mTokens = 0;
};

/// Load that an endpoint reports with an answer.
struct ReportedLoad
{
  std::int64_t mRunning = 0; ///< requests in a slot, of all instances
  std::int64_t mWaiting = 0; ///< requests that wait for a slot
  std::int64_t mSlots = 0;   ///< maximum number of concurrent requests
  /// Time that work takes at present, in percent of the usual time; empty: not reported.
  std::optional<std::int64_t> mPacePercent;
};

/// Load that an endpoint reported at a time.
struct DatedLoad
{
  std::int64_t mRequests = 0;               ///< running and waiting
  std::optional<std::int64_t> mPacePercent; ///< see ReportedLoad
  TimePoint mAsOf{};                        ///< time at which the report was received
};

/**
 * @brief Estimates which prompt parts an engine has cached. Evicts the least recently used parts
 * first. No I/O.
 *
 * Only prompts that this process sent are known. A part is cached together with the parts before
 * it, because an engine can reuse it only if all parts before it are the same.
 *
 * Callers choose the parts of their prompts, down to parts of no tokens, so the parts are bounded
 * by their number as well as by their tokens.
 */
class PromptCacheEstimate
{
public:
  /// Parts that the estimates of all endpoints together may hold. A part takes some 100 bytes.
  static constexpr std::size_t kMaxPartsTogether = 65'536;
  /// Parts that each estimate may hold, however many there are.
  static constexpr std::size_t kMinParts = 256;

  /// @param aCapacity number of tokens that the engine's cache holds
  explicit PromptCacheEstimate(std::int64_t aCapacity = 0)
    : mCapacity(aCapacity)
  {
  }

  /// @param aCapacity number of tokens that the engine's cache holds
  /// @param aEndpoints number of endpoints, which divide kMaxPartsTogether among them
  void SetCapacity(std::int64_t aCapacity, std::size_t aEndpoints);

  /// @brief Number of parts that are held.
  std::size_t Parts() const { return mRecentlyUsed.size(); }

  /// @brief Number of tokens at the beginning of a prompt that the engine need not compute again.
  std::int64_t CachedTokens(std::span<const PromptPart> aParts) const;

  /// @brief Records that the engine processes a prompt, and evicts parts beyond the capacity.
  void Touch(std::span<const PromptPart> aParts);

  /// @brief Removes all parts.
  void Clear();

private:
  struct CachedPart
  {
    std::uint64_t mKey;
    std::int64_t mTokens;
  };

  std::int64_t mCapacity;
  std::size_t mMaxParts = kMinParts;
  std::int64_t mUsed = 0;              ///< tokens of all cached parts
  std::list<CachedPart> mRecentlyUsed; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<CachedPart>::iterator> mIndex;
};

/// A request of this process that is in flight on an endpoint.
struct SentRequest
{
  std::int64_t mPrefillTokens = 0; ///< prompt tokens that the endpoint has to process
  bool mHasStarted = false;        ///< the first event or the answer has arrived
};

/**
 * @brief Estimates the load of one endpoint. No clock or I/O: time is an argument.
 */
class EndpointLoad
{
public:
  using RequestHandle = std::uint64_t;

  /// @brief Records that a request was sent. @return handle for OnStarted() and OnEnded()
  RequestHandle OnSent(std::int64_t aPrefillTokens);

  /// @brief Records an event of the answer.
  /// @return whether it is the first one of a request in flight
  bool OnStarted(RequestHandle aHandle);

  /// @brief Records the end of a request, whatever its outcome.
  void OnEnded(RequestHandle aHandle);

  /// @brief Applies the load that an endpoint reported with an answer.
  void OnReportedLoad(const ReportedLoad& aReport, TimePoint aNow);

  /// @brief Applies a load that the endpoint reported to another instance. It changes only Trend().
  void OnPeerReportedLoad(const DatedLoad& aReport);

  /// @brief Last load that the endpoint reported to this process; empty if TakeReport() has
  /// returned it, or if the endpoint got no prompts: the load of endpoints with short calls changes
  /// sooner than peers could be told.
  std::optional<DatedLoad> TakeReport();

  /// @brief Records the outcome of one attempt and suspends the endpoint after repeated failures.
  /// @param aFailed whether the endpoint failed
  void OnOutcome(bool aFailed, TimePoint aNow);

  /// Time for which an endpoint that could not be reached is suspended.
  static constexpr Millis kUnreachableSuspension{ 1'000 };

  /// @brief Suspends the endpoint because its address cannot be reached.
  void OnUnreachable(TimePoint aNow)
  {
    mSuspendedUntil = std::max(mSuspendedUntil, aNow + kUnreachableSuspension);
  }

  /// @brief Records the latency of one answer.
  /// @param aRatio observed time divided by the predicted time
  void OnLatency(double aRatio, TimePoint aNow);

  /// @brief Records how many prompt tokens of another instance's requests wait on this endpoint.
  /// @param aPeer incarnation of that instance
  /// @param aTokens pending tokens; 0 or less removes the entry
  void OnPeerPending(const std::string& aPeer, std::int64_t aTokens, TimePoint aNow);

  /// @brief Prompt tokens of other instances' requests that have not had their first event, by
  /// reports younger than 500 ms.
  std::int64_t PeerPendingTokens(TimePoint aNow) const;

  /// @brief Number of this process's requests in flight on the endpoint.
  std::int64_t InFlight() const { return static_cast<std::int64_t>(mRequests.size()); }

  /// @brief Prompt tokens of this process's requests that have not had their first event.
  std::int64_t PendingPrefillTokens() const { return mPendingPrefillTokens; }

  /// @brief Estimated number of requests on the endpoint: the last reported load, corrected by this
  /// process's requests that were sent or ended since.
  double Running(TimePoint aNow) const;

  /// @brief Average of the reported loads, and estimates from it.
  const LoadTrend& Trend() const { return mTrend; }

  /// @brief Whether recent failures have suspended the endpoint, so that it gets requests only if
  /// no other endpoint is usable.
  bool IsSuspended(TimePoint aNow) const { return aNow < mSuspendedUntil; }

  /// @brief Factor by which answers are slower than predicted, at least 1. It decays to 1 without
  /// new answers.
  double SlowdownFactor(TimePoint aNow) const;

  PromptCacheEstimate& Cache() { return mCache; }
  const PromptCacheEstimate& Cache() const { return mCache; }

private:
  std::unordered_map<RequestHandle, SentRequest> mRequests;
  RequestHandle mLastHandle = 0;
  std::int64_t mPendingPrefillTokens = 0;
  struct PeerPending
  {
    std::int64_t mTokens = 0;
    TimePoint mReportedAt{};
  };
  std::map<std::string, PeerPending> mPeers; ///< by incarnation
  ReportedLoad mReportedLoad;
  std::int64_t mOwnAtReport = 0; ///< value of InFlight() at mReportedAt
  TimePoint mReportedAt{};
  LoadTrend mTrend;
  std::optional<DatedLoad> mUntakenReport;
  bool mHasGotPrompts = false;
  double mFailureShare = 0; ///< moving average of failed attempts, 0 to 1
  int mConsecutiveFailures = 0;
  int mSuspensions = 0; ///< consecutive suspensions
  TimePoint mSuspendedUntil{};
  double mSlowdownFactor = 1;
  TimePoint mSlowdownUpdatedAt{};
  PromptCacheEstimate mCache;
};

} // namespace gentianloom

#endif
