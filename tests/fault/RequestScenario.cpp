#include "RequestScenario.h"

#include "gentianloom/base/Clock.h"
#include "gentianloom/outcome/RetryPolicy.h"
#include "gentianloom/outcome/StreamValidator.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace gentianloom::fault {

namespace {

constexpr int kEngineCount = 3;
constexpr int kTokenCount = 12;
constexpr Millis kDeadline{ 10'000 };

constexpr std::string_view kMutantRetryAfterTokens = "retry after tokens reached the caller";
constexpr std::string_view kMutantNoValidation = "events relayed without validation";
constexpr std::string_view kMutantNotRunAfterDispatch = "not run reported after dispatch";
constexpr std::string_view kMutantReusedConnection = "abandoned connection reused";
constexpr std::string_view kMutantSendAfterDeadline = "sent after the deadline";

/// One event read from the connection to an engine.
struct Event
{
  std::string mId;
  int mToken = 0; ///< number from 1, 0 for the end marker, -1 for a broken connection
};

/// Outcome that the router reports to the caller for one call.
enum class ReportedOutcome
{
  None, ///< no response, because the router or the caller ended the call
  Done,
  NotRun,
  Unknown
};

/// What a caller has received for one request, over all its calls.
struct Caller
{
  std::string mId;
  std::vector<std::string> mTokens; ///< `<request id>/<number>`, with the id that the engine sent
  int mEngine = -1;                 ///< engine named by the resume token, -1 without one
};

/// Simulates callers that send one request each to a router, and the engines behind it.
class RequestSimulation
{
public:
  explicit RequestSimulation(const CellParameters& aParameters)
    : mParameters(aParameters)
    , mRandom(static_cast<std::mt19937::result_type>(aParameters.mSeed))
  {
  }

  RunResult Run()
  {
    for (int n = 0; n < 4; ++n) {
      RunRequest("req-" + std::to_string(n), n == 2);
    }
    RunResult out;
    out.mFaultsInjected = mInjectedFaults.size() == mParameters.mFaults.size();
    out.mCheckedInvariants = { Invariant::CompleteOwnResponse, Invariant::NotRunIsTruthful };
    out.mViolation = mViolation;
    return out;
  }

private:
  bool HasFault(Fault aFault) const
  {
    return std::find(mParameters.mFaults.begin(), mParameters.mFaults.end(), aFault) !=
           mParameters.mFaults.end();
  }
  bool HasMutant(std::string_view aMutant) const { return mParameters.mMutant == aMutant; }
  void RecordViolation(const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = aText;
    }
  }

  /// Injects a fault once, at its step of the request under test. @return whether it did so now
  bool TryInject(Fault aFault, Step aStep)
  {
    const bool isInjected = mIsFaultTarget && mParameters.mStep == aStep && HasFault(aFault) &&
                            !mInjectedFaults.contains(aFault);
    if (isInjected) {
      mInjectedFaults[aFault] = true;
    }
    return isInjected;
  }

  void RunRequest(const std::string& aId, bool aIsFaultTarget)
  {
    mIsFaultTarget = aIsFaultTarget;
    Caller caller{ aId, {}, -1 };
    for (int n = 0; n < 4; ++n) {
      const auto runsBefore = mRunCounts[aId];
      const auto outcome = HandleCall(caller);
      if (outcome == ReportedOutcome::NotRun && mRunCounts[aId] != runsBefore) {
        RecordViolation(aId + " ran, but was reported as \"not run\"");
      }
      if (outcome == ReportedOutcome::Done) {
        CheckComplete(caller);
        return;
      }
      if (outcome == ReportedOutcome::Unknown) {
        return; // final: the caller may send a new request, with another id
      }
      mClock.Advance(std::chrono::seconds(1)); // refused, or the router died: the caller retries
      mIsCallAborted = false;
    }
    RecordViolation(aId + " got no final outcome");
  }

  void CheckComplete(const Caller& aCaller)
  {
    for (int n = 1; n <= kTokenCount; ++n) {
      const auto expected = aCaller.mId + "/" + std::to_string(n);
      if (aCaller.mTokens.size() != kTokenCount ||
          aCaller.mTokens[static_cast<std::size_t>(n - 1)] != expected) {
        RecordViolation(aCaller.mId + " was reported as \"done\" with " +
                        std::to_string(aCaller.mTokens.size()) +
                        " tokens, which are not its own in order");
        return;
      }
    }
  }

  /// Injects the faults of the router and the caller at a step. @return whether the call continues
  bool InjectRouterFaults(Step aStep)
  {
    if (TryInject(Fault::RouterFrozen, aStep)) {
      mClock.Advance(std::chrono::seconds(30));
    }
    if (TryInject(Fault::GracefulStop, aStep) || TryInject(Fault::CallerRetriesElsewhere, aStep)) {
      // A draining router finishes its open requests; a caller that gives up ends the call.
      mIsCallAborted = mParameters.mFaults.front() == Fault::CallerRetriesElsewhere;
    }
    if (TryInject(Fault::RouterKilled, aStep)) {
      mIsCallAborted = true;
    }
    return !mIsCallAborted;
  }

  ReportedOutcome HandleCall(Caller& aCaller)
  {
    RetryDecision decision(true, mClock.Now() + kDeadline);
    for (const auto step : { Step::RequestAccept,
                             Step::RequestAuthenticate,
                             Step::RequestReserve,
                             Step::RequestPlace }) {
      if (!InjectRouterFaults(step)) {
        return ReportedOutcome::None;
      }
      const bool isStoreUnavailable =
        TryInject(Fault::StoreDown, step) || TryInject(Fault::StoreCut, step);
      if (isStoreUnavailable && step == Step::RequestReserve) {
        return ReportedOutcome::NotRun; // the budget could not be reserved
      }
    }
    if (aCaller.mEngine >= 0) {
      return ResumeWithToken(aCaller);
    }
    RetryBudget budget;
    int engine = static_cast<int>(mRandom() % kEngineCount);
    while (true) {
      if (!decision.MaySend(mClock.Now()) && !HasMutant(kMutantSendAfterDeadline)) {
        return decision.FinalAction() == RetryAction::ReportNotRun ? ReportedOutcome::NotRun
                                                                   : ReportedOutcome::Unknown;
      }
      if (!decision.MaySend(mClock.Now())) {
        RecordViolation(aCaller.mId + " was sent after its deadline");
      }
      AttemptFailure failure;
      const auto outcome = SendToEngine(aCaller, engine, failure);
      if (outcome != ReportedOutcome::NotRun) {
        return outcome;
      }
      auto action = decision.OnFailure(failure, mClock.Now(), budget);
      if (HasMutant(kMutantNotRunAfterDispatch)) {
        action = RetryAction::ReportNotRun;
      } else if (HasMutant(kMutantRetryAfterTokens) && action == RetryAction::ReportUnknown) {
        action = RetryAction::Retry;
      }
      if (action != RetryAction::Retry) {
        return action == RetryAction::ReportNotRun ? ReportedOutcome::NotRun
                                                   : ReportedOutcome::Unknown;
      }
      engine = (engine + 1) % kEngineCount;
    }
  }

  /// Sends the request to one engine. @return NotRun if that failed, as described by aFailure
  ReportedOutcome SendToEngine(Caller& aCaller, int aEngine, AttemptFailure& aFailure)
  {
    if (TryInject(Fault::EndpointCut, Step::RequestDispatch) ||
        TryInject(Fault::LaggingInstanceList, Step::RequestDispatch)) {
      aFailure.mRequestDidNotRun = true; // the engine was not reached or had left
      return ReportedOutcome::NotRun;
    }
    ++mRunCounts[aCaller.mId];
    if (!InjectRouterFaults(Step::RequestDispatch)) {
      return ReportedOutcome::None;
    }
    for (const auto it : { Fault::EndpointCrash, Fault::OneWayCut, Fault::CrashingRequest }) {
      if (TryInject(it, Step::RequestDispatch)) {
        mRetainedStreams.erase({ aEngine, aCaller.mId });
        return ReportedOutcome::NotRun; // broken before the first token; it may have run
      }
    }
    mRetainedStreams[{ aEngine, aCaller.mId }] = true;
    StreamValidator validator(aCaller.mId, std::to_string(aEngine), mEchoingEngines, 0);
    auto outcome = RelayEvents(aCaller, aEngine, validator);
    for (int n = 0; n < 2 && outcome == ReportedOutcome::NotRun && validator.LastSequence() > 0;
         ++n) {
      outcome = Resume(aCaller, aEngine, validator.LastSequence());
    }
    aFailure.mReachedCaller = !aCaller.mTokens.empty();
    return outcome;
  }

  ReportedOutcome ResumeWithToken(Caller& aCaller)
  {
    for (int n = 0; n < 2; ++n) {
      const auto outcome =
        Resume(aCaller, aCaller.mEngine, static_cast<std::int64_t>(aCaller.mTokens.size()));
      if (outcome != ReportedOutcome::NotRun) {
        return outcome;
      }
    }
    return ReportedOutcome::Unknown;
  }

  ReportedOutcome Resume(Caller& aCaller, int aEngine, std::int64_t aAfter)
  {
    if (!mRetainedStreams.contains({ aEngine, aCaller.mId })) {
      return ReportedOutcome::NotRun;
    }
    StreamValidator validator(aCaller.mId, std::to_string(aEngine), mEchoingEngines, aAfter);
    return RelayEvents(aCaller, aEngine, validator);
  }

  /// Makes the events that one connection delivers, with the faults of step request.relay.
  std::vector<Event> MakeEvents(const std::string& aId, int aEngine, std::int64_t aAfter)
  {
    std::vector<Event> out;
    if (HasMutant(kMutantReusedConnection) && !mUnreadEvents.empty()) {
      out = std::exchange(mUnreadEvents, {}); // events of the exchange that was abandoned
    }
    for (int n = static_cast<int>(aAfter) + 1; n <= kTokenCount; ++n) {
      out.push_back({ aId, n });
    }
    out.push_back({ aId, 0 });
    if (out.size() < 4) {
      return out;
    }
    const auto index = 1 + mRandom() % (out.size() - 3);
    if (TryInject(Fault::DuplicateAnswer, Step::RequestRelay)) {
      out.insert(out.begin() + static_cast<std::ptrdiff_t>(index), out[index]);
    }
    if (TryInject(Fault::ReorderedAnswer, Step::RequestRelay)) {
      std::swap(out[index], out[index + 1]);
    }
    if (TryInject(Fault::LateAnswer, Step::RequestRelay)) {
      out.insert(out.begin() + static_cast<std::ptrdiff_t>(index), { "req-other", kTokenCount });
    }
    for (const auto it :
         { Fault::EndpointCut, Fault::EndpointCrash, Fault::OneWayCut, Fault::CrashingRequest }) {
      if (!TryInject(it, Step::RequestRelay)) {
        continue;
      }
      const auto length = 1 + mRandom() % (out.size() - 1); // at the latest before the end marker
      mUnreadEvents.assign(out.begin() + static_cast<std::ptrdiff_t>(length), out.end());
      out.resize(length);
      out.push_back({ aId, -1 });
      if (it == Fault::EndpointCrash || it == Fault::CrashingRequest) {
        mRetainedStreams.erase({ aEngine, aId });
      }
    }
    return out;
  }

  ReportedOutcome RelayEvents(Caller& aCaller, int aEngine, StreamValidator& aValidator)
  {
    for (const auto& it : MakeEvents(aCaller.mId, aEngine, aValidator.LastSequence())) {
      if (it.mToken < 0) {
        return ReportedOutcome::NotRun;
      }
      if (it.mToken == 0) {
        return ReportedOutcome::Done;
      }
      const auto data = R"({"id":")" + it.mId + "\"}";
      const auto checkResult = aValidator.Check(data, it.mToken, it.mToken);
      if (checkResult == EventCheckResult::Duplicate && !HasMutant(kMutantNoValidation)) {
        continue;
      }
      if (checkResult != EventCheckResult::InOrder && !HasMutant(kMutantNoValidation)) {
        return ReportedOutcome::NotRun;
      }
      aCaller.mTokens.push_back(it.mId + "/" + std::to_string(it.mToken));
      aCaller.mEngine = aEngine;
      if (!InjectRouterFaults(Step::RequestRelay)) {
        return ReportedOutcome::None;
      }
    }
    return ReportedOutcome::NotRun;
  }

  CellParameters mParameters;
  std::mt19937 mRandom;
  ManualClock mClock;
  EchoingEngines mEchoingEngines;
  std::map<std::string, int> mRunCounts;
  std::map<std::pair<int, std::string>, bool> mRetainedStreams;
  std::vector<Event> mUnreadEvents;
  std::map<Fault, bool> mInjectedFaults;
  bool mIsFaultTarget = false;
  bool mIsCallAborted = false;
  std::string mViolation;
};

class RequestScenario final : public Scenario
{
public:
  std::string_view Name() const override { return "requests"; }

  std::vector<Step> Steps() const override
  {
    return { Step::RequestAccept, Step::RequestAuthenticate, Step::RequestReserve,
             Step::RequestPlace,  Step::RequestDispatch,     Step::RequestRelay };
  }

  std::string NotApplicable(Fault aFault, Step aStep) const override
  {
    const bool isDispatch = aStep == Step::RequestDispatch;
    const bool isRelay = aStep == Step::RequestRelay;
    switch (aFault) {
      case Fault::RouterKilled:
      case Fault::RouterFrozen:
      case Fault::GracefulStop:
      case Fault::CallerRetriesElsewhere:
        return "";
      case Fault::StoreDown:
      case Fault::StoreCut:
        return aStep == Step::RequestReserve ? "" : "the step does not call the key-value service";
      case Fault::EndpointCut:
      case Fault::EndpointCrash:
      case Fault::OneWayCut:
      case Fault::CrashingRequest:
        return isDispatch || isRelay ? "" : "no endpoint is involved before the dispatch";
      case Fault::LateAnswer:
      case Fault::DuplicateAnswer:
      case Fault::ReorderedAnswer:
        return isRelay ? "" : "responses are read at request.relay";
      case Fault::LaggingInstanceList:
        return isDispatch ? "" : "an endpoint that has left is noticed at request.dispatch";
      case Fault::StoreSlow:
      case Fault::StoreStale:
      case Fault::StoreLosesAnswer:
      case Fault::TopUpDuringCut:
        return "affects how a router acquires grants, see grant.*";
      case Fault::RoutersCut:
        return "a request is served by one router; gossip between routers only guides its "
               "decisions";
      case Fault::OperatorsRace:
        return "a request keeps the configuration that it was admitted under";
      case Fault::Count:
        break;
    }
    return "";
  }

  std::vector<std::string> Mutants() const override
  {
    return { std::string(kMutantRetryAfterTokens),
             std::string(kMutantNoValidation),
             std::string(kMutantNotRunAfterDispatch),
             std::string(kMutantReusedConnection),
             std::string(kMutantSendAfterDeadline) };
  }

  RunResult Run(const CellParameters& aParameters) override
  {
    return RequestSimulation(aParameters).Run();
  }
};

} // namespace

ScenarioPtr MakeRequestScenario()
{
  return std::make_unique<RequestScenario>();
}

} // namespace gentianloom::fault
