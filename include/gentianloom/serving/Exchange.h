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

/// What a caller is told of its work, finally.
enum class Outcome
{
  Done,   ///< the whole answer was given
  NotRun, ///< proved not to have run, and nothing left can make it run later
  Unknown ///< it may have run
};

/// @brief Value of the `Gentianloom-Outcome` header.
std::string_view ToString(Outcome aOutcome);

/// Which face of the router a request came in by.
enum class ExchangeKind
{
  Chat,
  Service
};

/**
 * @brief One request on its way through the pipeline.
 *
 * Owned by the connection's thread and the filter that has it now; a filter that passed it on does
 * not touch it again. Only the gate is shared.
 */
struct Exchange
{
  // What the caller asked.
  ExchangeKind mKind = ExchangeKind::Chat;
  std::string mRequestId;
  std::string mIdempotencyKey;
  std::string mBearerKey;
  std::string mMethod;
  std::string mPath; ///< plain services: path below the service, with query
  std::string mBody; ///< chat: as sent to the engine, with its bound
  std::string mContentType;
  std::string mModel;
  std::string mService;
  bool mStream = false;
  Tokens mPromptBound = 0;       ///< upper bound of prompt tokens, from bytes
  Tokens mOutputBound = 0;       ///< most tokens of the answer
  std::string mResumeAt;         ///< endpoint whose stream the caller asks to resume, or empty
  std::int64_t mResumeAfter = 0; ///< number of the last event that the caller has
  TimePoint mArrived{};
  TimePoint mDeadline{};

  // What the filters found.
  AcceptedConfigurationPtr mConfiguration;
  std::string mOrganisation;
  std::string mFingerprint; ///< of organisation and content, see ContentFingerprint()
  std::string mBudget;
  Tokens mReserved = 0;
  std::optional<Placement> mPlacement;
  PrefixHashes mPrefixes; ///< of the prompt; set before placement
  TimePoint mPlacedAt{};
  bool mCounted = true; ///< whether the placement counts as one of the endpoint's in flight

  // What became of it.
  Outcome mOutcome = Outcome::NotRun;
  Tokens mPromptTokens = 0;
  Tokens mOutputTokens = 0;
  TimePoint mFirstToken{}; ///< when the first token came; zero: none did
  TimePoint mLastToken{};

  /// @brief Takes the engine's count of tokens so far.
  void NoteTokens(Tokens aOutputTokens, TimePoint aNow)
  {
    if (aOutputTokens > mOutputTokens) {
      mFirstToken = mFirstToken == TimePoint{} ? aNow : mFirstToken;
      mLastToken = aNow;
    }
    mOutputTokens = aOutputTokens;
  }

  /// @brief Lets the connection's thread go on. @param aError why not, if refused
  void Open(const std::optional<Error>& aError);

  /// @brief Waits for Open(). @return the refusal, if any
  std::optional<Error> WaitOpen();

private:
  std::mutex mGateMutex;
  std::condition_variable mGate;
  bool mIsOpen = false;
  std::optional<Error> mRefusal;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace gentianloom

#endif
