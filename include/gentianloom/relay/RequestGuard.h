#ifndef GENTIANLOOM_RELAY_REQUEST_GUARD_H
#define GENTIANLOOM_RELAY_REQUEST_GUARD_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Task.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Decides whether a request may be sent to endpoints, by what became of those that ran it,
 * or another one with a part of its prompt.
 *
 * Each request has several keys, see MakeCrashKeys().
 */
class RequestGuard
{
public:
  /// What crashes endpoints as they begin to write a response does so within this time after the
  /// first event.
  static constexpr Millis kBeginOfResponse{ 300 };

  virtual ~RequestGuard() = default;

  /// @brief Returns for how long a request must not be sent to an endpoint; nothing if it may.
  virtual std::optional<Millis> BlockedFor(std::span<const std::string> aKeys) const = 0;

  /// @brief Whether TakeTrial() may succeed for a blocked request.
  virtual bool IsTrialDue(std::span<const std::string> aKeys) const = 0;

  /// @brief Asks whether a blocked request may be sent nevertheless, as the only one of all
  /// instances, to find out whether endpoints survive it.
  virtual net::Task<bool> TakeTrial(std::vector<std::string> aKeys) = 0;

  /// @brief Whether a request may be sent again for the same caller after an endpoint failed it.
  /// @param aKey of the request itself
  virtual bool MayRetry(const std::string& aKey) const = 0;

  /// @brief Notes that the connection to an endpoint ended while it ran a request or began to write
  /// the response.
  /// @param aSentAt when the request was sent to the endpoint
  /// @param aAddress of the endpoint
  virtual void OnInterrupted(std::vector<std::string> aKeys,
                             TimePoint aSentAt,
                             const std::string& aAddress) = 0;

  /// @brief Notes that an endpoint survived what some keys of a request stand for.
  virtual void OnSurvived(std::span<const std::string> aKeys, TimePoint aSentAt) = 0;
};

} // namespace gentianloom

#endif
