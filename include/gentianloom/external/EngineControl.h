#ifndef GENTIANLOOM_EXTERNAL_ENGINE_CONTROL_H
#define GENTIANLOOM_EXTERNAL_ENGINE_CONTROL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom {

/// Model, version, adapters and role that an engine runs or has to run. Describes the complete
/// state, so that repeating an order is idempotent.
struct EngineTarget
{
  std::string mModel;
  std::string mVersion;
  std::vector<std::string> mAdapters; ///< sorted
  std::string mRole;                  ///< `both`, `prefill` or `decode`

  bool operator==(const EngineTarget&) const = default;
};

/// Progress of an engine towards its target.
enum class EngineState : std::uint8_t
{
  Ready,
  Loading,
  Failed
};

/// Status that an engine reports.
struct EngineStatus
{
  EngineTarget mTarget; ///< from the last order that it accepted
  EngineState mState = EngineState::Ready;
  std::string mReason;                    ///< set for EngineState::Failed
  std::int64_t mConfigurationVersion = 0; ///< from the last order that it accepted
};

/// Command to an engine to run a target.
struct EngineOrder
{
  EngineTarget mTarget;
  std::int64_t mConfigurationVersion = 0;
  std::int64_t mFencingToken = 0; ///< increases with each lock holder; some engines reject an
                                  ///< order with a lower one
};

/// Result of sending an order.
enum class OrderResult : std::uint8_t
{
  Accepted,
  Rejected, ///< the engine holds a newer fencing token
  Unknown   ///< the engine may have accepted the order, or may still accept it later
};

/**
 * @brief Sends orders to model engines and reads their status. Implementations are thread-safe.
 */
class EngineControl
{
public:
  virtual ~EngineControl() = default;

  /// @brief Reads an engine's status. @return the status, or ErrorCode::PlatformUnavailable
  virtual Result<EngineStatus> Observe(const std::string& aAddress) = 0;

  /// @brief Sends an order without retrying.
  virtual OrderResult Send(const std::string& aAddress, const EngineOrder& aOrder) = 0;
};

/**
 * @brief Controls engines by JSON over HTTP at `/control`.
 */
class HttpEngineControl final : public EngineControl
{
public:
  /// @param aTimeout for each of connect, send and receive
  explicit HttpEngineControl(Millis aTimeout)
    : mTimeout(aTimeout)
  {
  }
  Result<EngineStatus> Observe(const std::string& aAddress) override;
  OrderResult Send(const std::string& aAddress, const EngineOrder& aOrder) override;

private:
  Millis mTimeout;
};

} // namespace gentianloom

#endif
