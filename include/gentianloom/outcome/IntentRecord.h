#ifndef GENTIANLOOM_OUTCOME_INTENT_RECORD_H
#define GENTIANLOOM_OUTCOME_INTENT_RECORD_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/// How far work that must not repeat has come, as the key-value service holds it.
enum class IntentState : std::uint8_t
{
  Open,   ///< created; may have been dispatched
  Done,   ///< the endpoint answered
  NotRun, ///< the holder proved that it was not dispatched and will not be; may be taken over
  Unknown ///< may have run; never run again
};

/// A whole answer of an endpoint to a service call.
struct ServiceResponse
{
  int mStatus = 0;
  std::string mContentType{};
  std::string mBody{};
};

/**
 * @brief The intent to run one piece of work once, written before it is dispatched.
 *
 * Only the holder (incarnation and nonce) may dispatch, and only once. Nobody takes over an open or
 * unknown intent.
 */
struct IntentRecord
{
  std::string mIncarnation; ///< run of the router that holds it
  std::string mNonce;       ///< the attempt of that router
  std::string mFingerprint; ///< of method, path, content type and body
  IntentState mState = IntentState::Open;
  Millis mHolderDeadline{ 0 }; ///< wall clock after which the holder no longer waits for the answer
  ServiceResponse mResponse{};
  bool mAnswerKept = false; ///< whether mResponse holds the body
};

/// Longest answer that is kept in an intent record, bytes.
inline constexpr std::size_t kMaxStoredResponseBytes = 64UL * 1024;

/// Longest idempotency key, bytes.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/**
 * @brief Key of an intent record in the key-value service.
 * @par Complexity linear in the texts
 */
std::string MakeIntentKey(std::string_view aOrganisation,
                          std::string_view aService,
                          std::string_view aIdempotencyKey);

/// @brief Fingerprint of a call: the same for the same call only.
std::string ComputeCallFingerprint(std::string_view aMethod,
                                   std::string_view aPath,
                                   std::string_view aContentType,
                                   std::string_view aBody);

/// @brief Writes a record as the key-value service holds it.
std::string SerializeIntent(const IntentRecord& aRecord);

/// @brief Reads a record. @return nothing if the text is no record
std::optional<IntentRecord> ParseIntent(std::string_view aText);

} // namespace gentianloom

#endif
