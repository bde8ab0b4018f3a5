#ifndef GENTIANLOOM_NET_LINK_BUDGET_H
#define GENTIANLOOM_NET_LINK_BUDGET_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>

namespace gentianloom::net {

/**
 * @brief Decides when callers may open further connections to an instance with a narrow link. No
 * clock or I/O; not thread-safe.
 *
 * Load pattern: the callers of one organisation send an instance more requests than its link
 * carries. What they send then queues before the responses of the key-value service and of
 * endpoints, so that connecting to those times out, nothing is served and configurations come late,
 * while callers repeat their requests. A connection that is not accepted costs the link its opening
 * packet only, and has not sent a request.
 *
 * All bytes that are received count, and callers wait once they are more than kShare of the link.
 */
class LinkBudget
{
public:
  /// Share of the link that may be used before callers wait.
  static constexpr double kShare = 0.6;
  /// Bytes of the packets that open and close a connection.
  static constexpr std::uint64_t kConnectionBytes = 300;
  /// Received bytes may exceed the share by what it carries in this time.
  static constexpr Millis kBurst{ 100 };

  /// Longest pause between two accepted connections while others wait, whatever the open ones send.
  /// With the backlog of a narrow link, the last one is accepted in 800 ms, before its caller gives
  /// up (1 s): an instance that accepts only connections that were given up serves nobody.
  static constexpr Millis kMaxPause{ 50 };

  /// @param aBytesPerSecond capacity of the link; 0: no limit
  explicit LinkBudget(double aBytesPerSecond);

  /// @brief States how many bytes were received since the start of the process.
  void OnTotal(std::uint64_t aBytes, TimePoint aNow);

  /// @brief Notes that a connection is accepted.
  void OnAccept(TimePoint aNow) { mAcceptedAt = aNow; }

  /// @brief Time until a further connection may be accepted; zero if it may now.
  Micros TimeUntilAccept(TimePoint aNow) const;

  /// @brief Connections that may wait to be accepted: those whose requests fit into 60 ms of the
  /// share, if each sends 4 KiB. Nothing if there is no limit or the link is wide.
  std::optional<int> Backlog() const;

private:
  double mBytesPerMicro; ///< that the share carries
  std::uint64_t mTotal = 0;
  TimePoint mCarriedUntil{}; ///< when the share has carried what was received
  TimePoint mAcceptedAt{};
};

} // namespace gentianloom::net

#endif
