#ifndef GENTIANLOOM_EXTERNAL_ENGINE_CONTROL_H
#define GENTIANLOOM_EXTERNAL_ENGINE_CONTROL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom {

/// What runs, or is to run, on a model engine. Absolute, so that repeating an order is harmless.
struct EngineTarget
{
  std::string mModel;
  std::string mVersion;
  std::vector<std::string> mAdapters; ///< sorted
  std::string mRole;                  ///< `both`, `prefill` or `decode`

  bool operator==(const EngineTarget&) const = default;
};

/// How far an engine is.
enum class EngineState : std::uint8_t
{
  Ready,
  Loading,
  Failed
};

/// What an engine says of itself.
struct EngineStatus
{
  EngineTarget mTarget; ///< of the last order it took
  EngineState mState = EngineState::Ready;
  std::string mReason;                    ///< with EngineState::Failed
  std::int64_t mConfigurationVersion = 0; ///< of the last order it took
};

/// An order to an engine.
struct EngineOrder
{
  EngineTarget mTarget;
  std::int64_t mConfigurationVersion = 0;
  std::int64_t mFencingToken = 0; ///< grows with each holder; some engines refuse an older one
};

/// What is known of an order.
enum class OrderResult : std::uint8_t
{
  Accepted,
  Refused, ///< the engine holds a newer fencing number
  Unknown  ///< it may have been taken, or be taken later
};

/**
 * @brief Gives orders to model engines and reads their state. Implementations are thread-safe.
 */
class EngineControl
{
public:
  virtual ~EngineControl() = default;

  /// @brief Reads an engine's state, or ErrorCode::PlatformUnavailable.
  virtual Result<EngineStatus> Observe(const std::string& aAddress) = 0;

  /// @brief Sends one order, once.
  virtual OrderResult Send(const std::string& aAddress, const EngineOrder& aOrder) = 0;
};

/**
 * @brief Adapter for engines that are controlled by JSON over HTTP at `/control`.
 */
class HttpEngineControl final : public EngineControl
{
public:
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
