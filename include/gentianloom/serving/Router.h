#ifndef GENTIANLOOM_SERVING_ROUTER_H
#define GENTIANLOOM_SERVING_ROUTER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/settings/Settings.h"

#include <memory>
#include <string>

namespace gentianloom {

/**
 * @brief One router: all duties of an entry instance, put together from settings.
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
   * @brief Puts a router together; opens no connection yet.
   * @return the router, or ErrorCode::BadSettings
   */
  static Result<std::unique_ptr<Router>> Create(const Settings& aSettings);

  ~Router();

  /// @brief Starts all duties and listens. @return ErrorCode::BadSettings if it cannot listen
  Result<void> Start();

  /// @brief Leaves gracefully: serves on, drains, flushes, ends.
  void Shutdown();

  /// @brief Makes Leave() stop waiting, after a second signal.
  void SkipDrainWaits();

  /// @brief Address that callers are told.
  std::string Address() const;

private:
  struct Components;
  explicit Router(std::unique_ptr<Components> aComponents);

  std::unique_ptr<Components> mComponents;
};

} // namespace gentianloom

#endif
