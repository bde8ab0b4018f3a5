#ifndef GENTIANLOOM_TESTS_OUTCOME_SCRIPTED_STORE_H
#define GENTIANLOOM_TESTS_OUTCOME_SCRIPTED_STORE_H

#include "ForwardingStore.h"
#include "MemoryStore.h"

#include <deque>
#include <functional>

namespace gentianloom::testing {

/// How a ScriptedStore handles one call.
enum class StoreBehaviour
{
  Normal,
  Down,          ///< does not take effect and returns a definite error
  LosesResponse, ///< takes effect, but the caller is told that the effect is unknown
  LosesRequest,  ///< does not take effect, but the caller is told that the effect is unknown
  Stale,         ///< a read returns the state before the first write
  Delays ///< takes effect at DeliverDelayed(); the caller is told that the effect is unknown
};

/// A key-value service that injects faults into its calls in a scripted order.
class ScriptedStore final : public standin::ForwardingStore
{
public:
  explicit ScriptedStore(const Clock& aClock)
    : ForwardingStore(mStore)
    , mStore(aClock)
  {
  }

  std::deque<StoreBehaviour> mCommits; ///< for the next commits; Normal after the last one
  std::deque<StoreBehaviour> mReads;   ///< for the next reads; Normal after the last one
  std::function<void()> mOnCall;       ///< called before each call, for example to advance a clock
  int mCalls = 0;

  void DeliverDelayed()
  {
    for (const auto& it : std::exchange(mDelayed, {})) {
      mStore.Commit(it, Step::IntentCreate);
    }
  }

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    const auto behaviour = NextBehaviour(mReads);
    if (behaviour == StoreBehaviour::Stale) {
      return RangeResponse{};
    }
    return behaviour == StoreBehaviour::Normal ? mStore.Range(aKey, aIsPrefix, aStep)
                                               : Unavailable(aStep);
  }

  CommitResult Commit(const Transaction& aTransaction, Step aStep) override
  {
    const auto behaviour = NextBehaviour(mCommits);
    if (behaviour == StoreBehaviour::Normal) {
      return mStore.Commit(aTransaction, aStep);
    }
    if (behaviour == StoreBehaviour::LosesResponse) {
      mStore.Commit(aTransaction, aStep);
    } else if (behaviour == StoreBehaviour::Delays) {
      mDelayed.push_back(aTransaction);
    }
    CommitResult out;
    out.mEffect = behaviour == StoreBehaviour::Down ? Effect::NotApplied : Effect::Unknown;
    out.mError = Unavailable(aStep);
    return out;
  }

private:
  static Error Unavailable(Step aStep)
  {
    return MakeError(ErrorCode::PlatformUnavailable, aStep, "key-value service", "scripted fault");
  }

  StoreBehaviour NextBehaviour(std::deque<StoreBehaviour>& aScript)
  {
    ++mCalls;
    if (mOnCall) {
      mOnCall();
    }
    if (aScript.empty()) {
      return StoreBehaviour::Normal;
    }
    const auto out = aScript.front();
    aScript.pop_front();
    return out;
  }

  standin::MemoryStore mStore;
  std::vector<Transaction> mDelayed;
};

} // namespace gentianloom::testing

#endif
