#ifndef GENTIANLOOM_RELAY_STREAM_ORIGINS_H
#define GENTIANLOOM_RELAY_STREAM_ORIGINS_H

#include "gentianloom/net/Task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/// What began a stream. What endpoints of two software versions write does not fit together, so a
/// stream may be resumed only at an endpoint with the same origin.
struct StreamOrigin
{
  std::string mService;
  std::string mSoftwareVersion; ///< of the endpoint

  bool operator==(const StreamOrigin&) const = default;
};

/// Identifies a stream among all instances: hash of the organisation and of the id of the request
/// that brought its first event.
using StreamKey = std::uint64_t;

/// @brief Returns the key of a stream. @param aOrganisation name; empty for an anonymous caller
StreamKey MakeStreamKey(std::string_view aOrganisation, std::string_view aRequest);

/**
 * @brief The origins of the streams that all instances began recently.
 *
 * Callers resume a stream at any instance, mostly because the one that began it has ended.
 */
class StreamOrigins
{
public:
  virtual ~StreamOrigins() = default;

  /// @brief Notes the origin of a stream, here and at other instances. To be called before the
  /// caller gets the first event.
  virtual void Record(StreamKey aStream, const StreamOrigin& aOrigin) = 0;

  /// @brief Looks up the origin of a stream, here or at other instances. Waits for these for a
  /// bounded time. @return the origin, or nothing if no reachable instance knows it
  virtual net::Task<std::optional<StreamOrigin>> Find(StreamKey aStream) = 0;
};

} // namespace gentianloom

#endif
