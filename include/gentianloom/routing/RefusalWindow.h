#ifndef GENTIANLOOM_ROUTING_REFUSAL_WINDOW_H
#define GENTIANLOOM_ROUTING_REFUSAL_WINDOW_H

#include <cstdint>
#include <optional>

namespace gentianloom {

/**
 * @brief Bounds this instance's requests in flight at an endpoint that too many refusals would end.
 * No clock or I/O.
 *
 * Load pattern: an endpoint that ended is back and empty, and all instances send what waited for
 * it at once. Its window then begins with a single request. It grows by one for each window of
 * requests that are served; a refusal leaves half of what is in flight.
 */
class RefusalWindow
{
public:
  /// @brief Applies what a response says of the endpoint.
  /// @param aIsBrittle whether too many refusals would end it
  /// @param aFirstSize requests, with which the window begins, unless a refusal was
  ///        noted before
  void OnStated(bool aIsBrittle, std::int64_t aFirstSize);

  /// @brief Notes a response to a request that the endpoint had room for.
  /// @param aInFlight requests in flight there, with this one
  void OnServed(std::int64_t aInFlight);

  /// @brief Notes that an endpoint that too many refusals would end refused a request for want of
  /// room, of any instance.
  /// @param aInFlight requests in flight there from this instance
  void OnRefused(std::int64_t aInFlight);

  /// @brief Whether one more request may be sent.
  bool AllowsRequest(std::int64_t aInFlight) const
  {
    return !mIsBrittle || static_cast<double>(aInFlight) + 1 <= mSize.value_or(kMinSize);
  }

  bool IsBrittle() const { return mIsBrittle; }

private:
  static constexpr double kMinSize = 1;

  bool mIsBrittle = false;
  std::optional<double> mSize; ///< requests; empty as long as nothing was stated or refused
};

} // namespace gentianloom

#endif
