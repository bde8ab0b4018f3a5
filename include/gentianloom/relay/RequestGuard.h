#ifndef GENTIANLOOM_RELAY_REQUEST_GUARD_H
#define GENTIANLOOM_RELAY_REQUEST_GUARD_H

#include "gentianloom/base/Clock.h"

#include <optional>
#include <string>

namespace gentianloom {

/**
 * @brief Decides whether a request may be sent to endpoints, by what became of those that ran it or
 *        a repetition of it.
 *
 * Requests are identified by their fingerprints, see MakeRequestFingerprint().
 */
class RequestGuard
{
public:
  virtual ~RequestGuard() = default;

  /// @brief Returns for how long a request must not be sent to an endpoint; nothing if it may.
  virtual std::optional<Millis> BlockedFor(const std::string& aFingerprint) const = 0;

  /// @brief Whether a request may be sent again for the same caller after an endpoint failed it.
  virtual bool MayRetry(const std::string& aFingerprint) const = 0;

  /// @brief Notes that the connection to an endpoint ended while a request ran there.
  /// @param aSentAt when the request was sent to the endpoint
  /// @param aAddress of the endpoint
  virtual void OnInterrupted(const std::string& aFingerprint,
                             TimePoint aSentAt,
                             const std::string& aAddress) = 0;

  /// @brief Notes that an endpoint completed its response to a request.
  virtual void OnCompleted(const std::string& aFingerprint, TimePoint aSentAt) = 0;
};

} // namespace gentianloom

#endif
