#ifndef GENTIANLOOM_ROUTING_ENDPOINT_LOAD_H
#define GENTIANLOOM_ROUTING_ENDPOINT_LOAD_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <list>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace gentianloom {

/// One part of a prompt, in order; requests that begin with the same parts share their cache.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;
};

/// What an endpoint said of its load with an answer.
struct LoadFigures
{
  std::int64_t mRunning = 0;
  std::int64_t mWaiting = 0;
  std::int64_t mSlots = 0;
};

/**
 * @brief Prompt parts that an engine probably holds, the least recently used forgotten first. Pure.
 *
 * Known from what this process sent. A part counts only together with all parts before it.
 */
class PromptCacheEstimate
{
public:
  /// @param aCapacity tokens that the engine keeps
  explicit PromptCacheEstimate(std::int64_t aCapacity = 0)
    : mCapacity(aCapacity)
  {
  }

  void SetCapacity(std::int64_t aCapacity) { mCapacity = aCapacity; }

  /// @brief Tokens at the beginning of a prompt that need not be read again.
  std::int64_t CachedTokens(std::span<const PromptPart> aParts) const;

  /// @brief Notes that the engine reads a prompt.
  void Touch(std::span<const PromptPart> aParts);

  void Clear();

private:
  struct Held
  {
    std::uint64_t mKey;
    std::int64_t mTokens;
  };

  std::int64_t mCapacity;
  std::int64_t mUsed = 0;
  std::list<Held> mOrder; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<Held>::iterator> mIndex;
};

/// A request of this process that an endpoint works on.
struct SentWork
{
  std::int64_t mPrefillTokens = 0; ///< prompt tokens that it has to read
  bool mHasStarted = false;        ///< its first event or answer came
};

/**
 * @brief What this process knows of the load of one endpoint. Pure: time is an argument.
 */
class EndpointLoad
{
public:
  using WorkId = std::uint64_t;

  /// @brief Notes a request that is sent. @return handle for the calls below
  WorkId OnSent(std::int64_t aPrefillTokens);

  /// @brief Notes the first event of the answer. @return whether it is the first one
  bool OnStarted(WorkId aWork);

  /// @brief Notes the end of a request, however it ended.
  void OnEnded(WorkId aWork);

  /// @brief Takes figures that came with an answer.
  void OnFigures(const LoadFigures& aFigures, TimePoint aNow);

  /// @brief Learns the outcome of one attempt: whether the endpoint failed it.
  void OnOutcome(bool aFailed, TimePoint aNow);

  /// @brief Learns how long an answer took against what was to be expected.
  void OnLatency(double aRatio, TimePoint aNow);

  /// @brief Takes what another instance says that it has pending here. @param aPeer its incarnation
  void OnPeerPending(const std::string& aPeer, std::int64_t aTokens, TimePoint aNow);

  /// @brief Prompt tokens that other instances sent and whose first event has not come.
  std::int64_t PeersPending(TimePoint aNow) const;

  std::int64_t InFlight() const { return static_cast<std::int64_t>(mWork.size()); }

  /// @brief Prompt tokens sent by this process whose first event has not come.
  std::int64_t PendingPrefill() const { return mPendingPrefill; }

  /// @brief Requests on the endpoint, own and others', by the last figures and own changes since.
  double Running(TimePoint aNow) const;

  /// @brief Whether it failed so often lately that it gets work only as a last choice.
  bool IsSuspended(TimePoint aNow) const { return aNow < mSuspendedUntil; }

  /// @brief How many times slower than expected it answers, at least 1.
  double Slowness(TimePoint aNow) const;

  PromptCacheEstimate& Cache() { return mCache; }
  const PromptCacheEstimate& Cache() const { return mCache; }

private:
  std::unordered_map<WorkId, SentWork> mWork;
  WorkId mNextWork = 0;
  std::int64_t mPendingPrefill = 0;
  struct PeerPending
  {
    std::int64_t mTokens = 0;
    TimePoint mAt{};
  };
  std::map<std::string, PeerPending> mPeers;
  LoadFigures mFigures;
  std::int64_t mOwnAtFigures = 0;
  TimePoint mFiguresAt{};
  double mFailures = 0; ///< recent share of failed attempts, 0 to 1
  int mFailuresInRow = 0;
  int mSuspensions = 0;
  TimePoint mSuspendedUntil{};
  double mSlowness = 1;
  TimePoint mSlownessAt{};
  PromptCacheEstimate mCache;
};

} // namespace gentianloom

#endif
