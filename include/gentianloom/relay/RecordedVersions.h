#ifndef GENTIANLOOM_RELAY_RECORDED_VERSIONS_H
#define GENTIANLOOM_RELAY_RECORDED_VERSIONS_H

#include "gentianloom/net/Task.h"

namespace gentianloom {

/**
 * @brief The software versions that are recorded for all instances.
 */
class RecordedVersions
{
public:
  virtual ~RecordedVersions() = default;

  /// @brief Adds to the history what is recorded now. @return whether the record could be read
  virtual net::Task<bool> Refresh() = 0;
};

} // namespace gentianloom

#endif
