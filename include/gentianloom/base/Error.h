#ifndef GENTIANLOOM_BASE_ERROR_H
#define GENTIANLOOM_BASE_ERROR_H

#include "gentianloom/base/Step.h"

#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/// Stable identifiers of errors. Numbers are never reused; error texts may change.
enum class ErrorCode : std::uint16_t
{
  // 100: invalid input
  MalformedRequest = 101,
  MalformedJson = 102,
  UnknownKey = 103,
  WrongType = 104,
  OutOfRange = 105,
  MissingKey = 106,
  BodyTooLarge = 107,
  DuplicateName = 108,
  UnknownReference = 109,
  // 200: authentication and authorisation
  NotAuthenticated = 201,
  NotAllowed = 202,
  // 300: unknown resources
  UnknownModel = 301,
  UnknownService = 302,
  UnknownOrganisation = 303,
  UnknownPath = 304,
  // 400: budgets
  BudgetExhausted = 401,
  BudgetBusy = 402,
  // 500: load and deadlines
  Overloaded = 501,
  DeadlineExceeded = 502,
  NoEndpoint = 503,
  Leaving = 504,
  // 600: outcome of a request
  EndpointFailed = 601,
  AnswerIncomplete = 602,
  IdempotencyKeyMissing = 603,
  IdempotencyKeyConflict = 604,
  OutcomeUnknown = 605,
  RequestCrashesEndpoints = 606,
  AlreadyRunning = 607,
  AnswerNotKept = 608,
  // 700: platform services, such as the key-value store
  PlatformUnavailable = 701,
  PlatformAnswerLost = 702,
  Conflict = 703,
  StaleAnswer = 704,
  // 800: peer routers
  PeerUnavailable = 801,
  // 900: faults and settings of this process
  Internal = 901,
  BadSettings = 902,
};

/**
 * @brief Returns the stable name of an error code, as used in error bodies.
 * @param aCode the code
 * @return for example `budget_exhausted`
 * @par Complexity constant
 */
std::string_view ToString(ErrorCode aCode);

/**
 * @brief An error with the step and the peer at which it occurred.
 * @sa Step, ErrorCode
 */
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  Step mStep = Step::Settings;
  std::string mPeer;                                      ///< address or name; `self`: this process
  std::string mText;                                      ///< what is wrong and how to fix it
  std::optional<std::chrono::milliseconds> mRetryAfter{}; ///< delay before a retry that may succeed
};

/**
 * @brief Formats an error for logs and terminal output.
 * @param aError the error
 * @return `[CODE-NUMBER code] step=... peer=...: text`
 * @par Complexity linear in the text
 */
std::string ToString(const Error& aError);

/// Result of an operation that may fail with an Error.
template<typename T>
using Result = boost::outcome_v2::checked<T, Error>;

using boost::outcome_v2::success;

/// Creates an Error without a retry delay.
inline Error MakeError(ErrorCode aCode, Step aStep, std::string_view aPeer, std::string aText)
{
  return Error{ aCode, aStep, std::string(aPeer), std::move(aText) };
}

} // namespace gentianloom

#endif
