#ifndef GENTIANLOOM_SERVING_ROUTER_H
#define GENTIANLOOM_SERVING_ROUTER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/settings/Settings.h"

#include <memory>
#include <string>

namespace gentianloom {

/**
 * @brief One router process: creates, starts and stops all its components.
 *
 * @code
 * auto router = Router::Create(settings);
 * if (router) {
 *   router.value()->Start();
 * }
 * @endcode
 */
class Router
{
public:
  /**
   * @brief Creates a router from its settings. Opens no connection.
   * @return the router; ErrorCode::BadSettings if the settings are invalid
   */
  static Result<std::unique_ptr<Router>> Create(const Settings& aSettings);

  ~Router();

  /// @brief Starts all components and listens.
  /// @return ErrorCode::BadSettings if it cannot listen on one of its addresses
  Result<void> Start();

  /// @brief Shuts down gracefully: announces the shutdown, completes the open requests, writes all
  /// pending state and stops the components. Blocks until this is done.
  void Shutdown();

  /// @brief Makes Shutdown() skip its remaining waits. Called after a second signal. Thread-safe.
  void SkipDrainWaits();

  /// @brief The address that is published to callers.
  std::string Address() const;

private:
  struct Components;
  explicit Router(std::unique_ptr<Components> aComponents);

  std::unique_ptr<Components> mComponents;
};

} // namespace gentianloom

#endif
