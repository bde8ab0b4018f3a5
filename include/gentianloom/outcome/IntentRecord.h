#ifndef GENTIANLOOM_OUTCOME_INTENT_RECORD_H
#define GENTIANLOOM_OUTCOME_INTENT_RECORD_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/// State of a call that must run at most once, as stored in the key-value service.
enum class IntentState : std::uint8_t
{
  Open,   ///< the record was created; the call may have been dispatched
  Done,   ///< the endpoint responded
  NotRun, ///< the holder did not dispatch the call and never will; another attempt may take over
  Unknown ///< the call may have run and is never run again
};

/// A complete response of an endpoint to a service call.
struct ServiceResponse
{
  int mStatus = 0;
  std::string mContentType{};
  std::string mBody{};
};

/**
 * @brief The intent to run a call once; stored before the call is dispatched.
 *
 * Only the holder, identified by incarnation and nonce, may dispatch the call, and only once. No
 * other attempt takes over a record whose state is Open or Unknown.
 */
struct IntentRecord
{
  std::string mIncarnation; ///< the router process that holds the record
  std::string mNonce;       ///< the attempt within that process
  std::string mFingerprint; ///< result of ComputeCallFingerprint()
  IntentState mState = IntentState::Open;
  /// When the holder stops waiting for the response, in milliseconds since the Unix epoch.
  Millis mHolderDeadline{ 0 };
  ServiceResponse mResponse{};
  bool mIsBodyStored = false; ///< whether mResponse.mBody was stored; false if too large
};

/// Largest response body that is stored in an intent record.
inline constexpr std::size_t kMaxStoredResponseBytes = 64UL * 1024;

/// Longest idempotency key.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/**
 * @brief Returns the key of an intent record in the key-value service.
 * @par Complexity linear in the total length of the arguments
 */
std::string MakeIntentKey(std::string_view aOrganisation,
                          std::string_view aService,
                          std::string_view aIdempotencyKey);

/// @brief Returns a digest of a call; different calls have different digests.
std::string ComputeCallFingerprint(std::string_view aMethod,
                                   std::string_view aPath,
                                   std::string_view aContentType,
                                   std::string_view aBody);

/// @brief Serializes a record for the key-value service.
std::string SerializeIntent(const IntentRecord& aRecord);

/// @brief Parses a serialized record. @return nullopt if aText is not a valid record
std::optional<IntentRecord> ParseIntent(std::string_view aText);

} // namespace gentianloom

#endif
