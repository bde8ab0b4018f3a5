#ifndef GENTIANLOOM_SERVING_EXCHANGE_H
#define GENTIANLOOM_SERVING_EXCHANGE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/routing/EndpointTable.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace gentianloom {

/// Final outcome of a request, as reported to the caller.
enum class Outcome
{
  Done,   ///< the complete response was sent
  NotRun, ///< the request did not run and will not run later
  Unknown ///< the request may have run
};

/// @brief Returns the value of the `Gentianloom-Outcome` header.
std::string_view ToString(Outcome aOutcome);

/// Kind of a request.
enum class ExchangeKind
{
  Chat,   ///< a chat completion on a model engine
  Service ///< a call of a plain service
};

/**
 * @brief One request and its state, passed from filter to filter through the pipeline.
 *
 * Only the filter that currently processes the exchange may access it, until it passes the exchange
 * on. The connection's thread waits in WaitForAdmission() until the pipeline calls
 * FinishAdmission(), then accesses the exchange itself. A mutex protects the admission state, which
 * both use; the other members need none.
 */
struct Exchange
{
  // Contents of the request.
  ExchangeKind mKind = ExchangeKind::Chat;
  std::string mRequestId;
  std::string mIdempotencyKey;
  std::string mBearerKey;
  std::string mMethod;
  std::string mPath; ///< plain services: path after the service name, with the query
  std::string mBody; ///< chat: body for the engine, see ChatRequest::mEngineBody
  std::string mContentType;
  std::string mModel;
  std::string mService;
  bool mIsStreaming = false;
  Tokens mPromptBound = 0;       ///< upper bound of prompt tokens, computed from the size in bytes
  Tokens mOutputBound = 0;       ///< maximum number of output tokens
  std::string mResumeEndpoint;   ///< endpoint of the stream to resume; empty for a new request
  std::int64_t mResumeAfter = 0; ///< number of the last event that the caller received
  TimePoint mArrived{};
  TimePoint mDeadline{};

  // Set by the filters.
  AcceptedConfigurationPtr mConfiguration;
  std::string mOrganisation;
  std::string mFingerprint; ///< hash of organisation and content, see ContentFingerprint()
  std::string mBudget;
  Tokens mReserved = 0; ///< tokens that are reserved in the budget
  std::optional<Placement> mPlacement;
  PrefixHashes mPrefixes; ///< hashes of the prompt's prefixes; set before placement
  TimePoint mPlacedAt{};
  /// Whether the endpoint table counts this request as in flight on its endpoint.
  bool mIsCountedInFlight = true;

  // Set by the relay.
  Outcome mOutcome = Outcome::NotRun;
  Tokens mPromptTokens = 0;
  Tokens mOutputTokens = 0;
  TimePoint mFirstTokenAt{}; ///< when the first token arrived; zero if none did
  TimePoint mLastTokenAt{};

  /// @brief Records the number of output tokens that the engine has reported so far.
  void RecordTokens(Tokens aOutputTokens, TimePoint aNow)
  {
    if (aOutputTokens > mOutputTokens) {
      mFirstTokenAt = mFirstTokenAt == TimePoint{} ? aNow : mFirstTokenAt;
      mLastTokenAt = aNow;
    }
    mOutputTokens = aOutputTokens;
  }

  /// @brief Ends admission and wakes the connection's thread.
  /// @param aError why the request was rejected; empty if it was admitted
  void FinishAdmission(const std::optional<Error>& aError);

  /// @brief Waits for FinishAdmission(). @return its argument
  std::optional<Error> WaitForAdmission();

private:
  std::mutex mAdmissionMutex;
  std::condition_variable mAdmissionCondition;
  bool mIsAdmissionFinished = false;
  std::optional<Error> mRejection;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace gentianloom

#endif
