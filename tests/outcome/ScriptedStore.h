#ifndef GENTIANLOOM_TESTS_OUTCOME_SCRIPTED_STORE_H
#define GENTIANLOOM_TESTS_OUTCOME_SCRIPTED_STORE_H

#include "ForwardingStore.h"
#include "MemoryStore.h"

#include <deque>
#include <functional>

namespace gentianloom::testing {

/// What becomes of one call of a ScriptedStore.
enum class StoreBehaviour
{
  Normal,
  Down,        ///< refused, did not take effect
  LosesAnswer, ///< takes effect, the answer is lost
  LosesCall,   ///< takes no effect, and that is not known
  Stale,       ///< a read answers from before the first write
  Delays       ///< the answer is lost; takes effect at DeliverLate()
};

/// A key-value service that shows faults call by call, in the order of a script.
class ScriptedStore final : public standin::ForwardingStore
{
public:
  explicit ScriptedStore(const Clock& aClock)
    : ForwardingStore(mStore)
    , mStore(aClock)
  {
  }

  std::deque<StoreBehaviour> mCommits; ///< fates of the next commits; then Normal
  std::deque<StoreBehaviour> mReads;   ///< fates of the next reads; then Normal
  std::function<void()> mOnCall;       ///< called before each call, for example to advance a clock
  int mCalls = 0;

  void DeliverLate()
  {
    for (const auto& it : std::exchange(mLate, {})) {
      mStore.Commit(it, Step::IntentCreate);
    }
  }

  Result<RangeAnswer> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    const auto fate = Take(mReads);
    if (fate == StoreBehaviour::Stale) {
      return RangeAnswer{};
    }
    return fate == StoreBehaviour::Normal ? mStore.Range(aKey, aIsPrefix, aStep) : Away(aStep);
  }

  CommitAnswer Commit(const Transaction& aTransaction, Step aStep) override
  {
    const auto fate = Take(mCommits);
    if (fate == StoreBehaviour::Normal) {
      return mStore.Commit(aTransaction, aStep);
    }
    if (fate == StoreBehaviour::LosesAnswer) {
      mStore.Commit(aTransaction, aStep);
    } else if (fate == StoreBehaviour::Delays) {
      mLate.push_back(aTransaction);
    }
    CommitAnswer out;
    out.mEffect = fate == StoreBehaviour::Down ? Effect::DidNot : Effect::Unknown;
    out.mError = Away(aStep);
    return out;
  }

private:
  static Error Away(Step aStep)
  {
    return MakeError(ErrorCode::PlatformUnavailable, aStep, "key-value service", "scripted fault");
  }

  StoreBehaviour Take(std::deque<StoreBehaviour>& aScript)
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
  std::vector<Transaction> mLate;
};

} // namespace gentianloom::testing

#endif
