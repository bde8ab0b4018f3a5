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

constexpr int kEngines = 3;
constexpr int kTokens = 12;
constexpr Millis kDeadline{ 10'000 };

constexpr std::string_view kRetryShown = "retry after tokens reached the caller";
constexpr std::string_view kNoGuard = "events relayed unchecked";
constexpr std::string_view kNotRunSent = "not run told after dispatch";
constexpr std::string_view kReuse = "abandoned connection used again";
constexpr std::string_view kSendLate = "sent after the deadline";

/// One event as it comes from an engine's connection.
struct Event
{
  std::string mId;
  int mToken = 0; ///< 0: end marker, -1: the connection broke
};

/// What a caller was told of one attempt of its own.
enum class Told
{
  Nothing,
  Done,
  NotRun,
  Unknown
};

/// What a caller has of one request over all its retries.
struct Caller
{
  std::string mId;
  std::vector<std::string> mText; ///< tokens, each with the request it was generated for
  int mEngine = -1;               ///< resume token, -1: none
};

/// The engines, one router at a time, and one caller of a run.
class RequestWorld
{
public:
  explicit RequestWorld(const CellOrder& aOrder)
    : mOrder(aOrder)
    , mRandom(static_cast<std::mt19937::result_type>(aOrder.mSeed))
  {
  }

  CellRun Run()
  {
    for (int n = 0; n < 4; ++n) {
      RunCaller("req-" + std::to_string(n), n == 2);
    }
    CellRun out;
    out.mStruck = mStruck.size() == mOrder.mFaults.size();
    out.mChecked = { Promise::OwnWholeAnswer, Promise::NotRunIsTrue };
    out.mViolation = mViolation;
    return out;
  }

private:
  bool Has(Fault aFault) const
  {
    return std::find(mOrder.mFaults.begin(), mOrder.mFaults.end(), aFault) != mOrder.mFaults.end();
  }
  bool Planted(std::string_view aPlant) const { return mOrder.mPlant == aPlant; }
  void Violate(const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = aText;
    }
  }

  /// Whether a fault strikes now, at a step of the request that is being struck; once.
  bool Strikes(Fault aFault, Step aStep)
  {
    const bool now = mStriking && mOrder.mStep == aStep && Has(aFault) && !mStruck.contains(aFault);
    if (now) {
      mStruck[aFault] = true;
    }
    return now;
  }

  void RunCaller(const std::string& aId, bool aStrike)
  {
    mStriking = aStrike;
    Caller caller{ aId, {}, -1 };
    for (int n = 0; n < 4; ++n) {
      const auto runsBefore = mRuns[aId];
      const auto told = CallOnce(caller);
      if (told == Told::NotRun && mRuns[aId] != runsBefore) {
        Violate(aId + " was told \"not run\" and ran");
      }
      if (told == Told::Done) {
        CheckWhole(caller);
        return;
      }
      if (told == Told::Unknown) {
        return; // final; the caller asks anew under another id
      }
      mClock.Advance(std::chrono::seconds(1)); // refused, or the router died: comes back elsewhere
      mGone = false;
    }
    Violate(aId + " never got a final answer");
  }

  void CheckWhole(const Caller& aCaller)
  {
    for (int n = 1; n <= kTokens; ++n) {
      const auto want = aCaller.mId + "/" + std::to_string(n);
      if (aCaller.mText.size() != kTokens ||
          aCaller.mText[static_cast<std::size_t>(n - 1)] != want) {
        Violate(aCaller.mId + " was told \"done\" with " + std::to_string(aCaller.mText.size()) +
                " tokens, not its own in order");
        return;
      }
    }
  }

  /// Faults of the router and the caller at one step. @return whether the router goes on
  bool RouterGoesOn(Step aStep)
  {
    if (Strikes(Fault::RouterFrozen, aStep)) {
      mClock.Advance(std::chrono::seconds(30));
    }
    if (Strikes(Fault::GracefulStop, aStep) || Strikes(Fault::CallerRetriesElsewhere, aStep)) {
      // A leaving router finishes what it has; a caller that gave up ends this attempt.
      mGone = mOrder.mFaults.front() == Fault::CallerRetriesElsewhere;
    }
    if (Strikes(Fault::RouterKilled, aStep)) {
      mGone = true;
    }
    return !mGone;
  }

  Told CallOnce(Caller& aCaller)
  {
    RetryDecision decision(true, mClock.Now() + kDeadline);
    for (const auto step : { Step::RequestAccept,
                             Step::RequestAuthenticate,
                             Step::RequestReserve,
                             Step::RequestPlace }) {
      if (!RouterGoesOn(step)) {
        return Told::Nothing;
      }
      const bool storeAway = Strikes(Fault::StoreDown, step) || Strikes(Fault::StoreCut, step);
      if (storeAway && step == Step::RequestReserve) {
        return Told::NotRun; // no rights could be drawn
      }
    }
    if (aCaller.mEngine >= 0) {
      return ResumeFor(aCaller);
    }
    RetryBudget budget;
    int engine = static_cast<int>(mRandom() % kEngines);
    while (true) {
      if (!decision.MaySend(mClock.Now()) && !Planted(kSendLate)) {
        return decision.FinalAction() == RetryAction::ReportNotRun ? Told::NotRun : Told::Unknown;
      }
      if (!decision.MaySend(mClock.Now())) {
        Violate(aCaller.mId + " was sent after its deadline");
      }
      AttemptFailure facts;
      const auto told = Attempt(aCaller, engine, facts);
      if (told != Told::NotRun) {
        return told;
      }
      auto order = decision.OnFailure(facts, mClock.Now(), budget);
      if (Planted(kNotRunSent)) {
        order = RetryAction::ReportNotRun;
      } else if (Planted(kRetryShown) && order == RetryAction::ReportUnknown) {
        order = RetryAction::Retry;
      }
      if (order != RetryAction::Retry) {
        return order == RetryAction::ReportNotRun ? Told::NotRun : Told::Unknown;
      }
      engine = (engine + 1) % kEngines;
    }
  }

  /// One attempt on one engine. @return Told::NotRun if it failed; the facts tell how
  Told Attempt(Caller& aCaller, int aEngine, AttemptFailure& aFacts)
  {
    if (Strikes(Fault::EndpointCut, Step::RequestDispatch) ||
        Strikes(Fault::LaggingInstanceList, Step::RequestDispatch)) {
      aFacts.mRequestDidNotRun = true; // not reached, or gone already
      return Told::NotRun;
    }
    ++mRuns[aCaller.mId];
    if (!RouterGoesOn(Step::RequestDispatch)) {
      return Told::Nothing;
    }
    for (const auto it : { Fault::EndpointCrash, Fault::OneWayCut, Fault::CrashingRequest }) {
      if (Strikes(it, Step::RequestDispatch)) {
        mKept.erase({ aEngine, aCaller.mId });
        return Told::NotRun; // broke before the first token; it may have run
      }
    }
    mKept[{ aEngine, aCaller.mId }] = true;
    StreamValidator guard(aCaller.mId, std::to_string(aEngine), mEchoing, 0);
    auto told = Read(aCaller, aEngine, guard);
    for (int n = 0; n < 2 && told == Told::NotRun && guard.LastSequence() > 0; ++n) {
      told = Resume(aCaller, aEngine, guard.LastSequence());
    }
    aFacts.mReachedCaller = !aCaller.mText.empty();
    return told;
  }

  Told ResumeFor(Caller& aCaller)
  {
    for (int n = 0; n < 2; ++n) {
      const auto told =
        Resume(aCaller, aCaller.mEngine, static_cast<std::int64_t>(aCaller.mText.size()));
      if (told != Told::NotRun) {
        return told;
      }
    }
    return Told::Unknown;
  }

  Told Resume(Caller& aCaller, int aEngine, std::int64_t aAfter)
  {
    if (!mKept.contains({ aEngine, aCaller.mId })) {
      return Told::NotRun;
    }
    StreamValidator guard(aCaller.mId, std::to_string(aEngine), mEchoing, aAfter);
    return Read(aCaller, aEngine, guard);
  }

  /// The events of one connection, with the faults that strike the relay.
  std::vector<Event> EventsOf(const std::string& aId, int aEngine, std::int64_t aAfter)
  {
    std::vector<Event> out;
    if (Planted(kReuse) && !mLeftOver.empty()) {
      out = std::exchange(mLeftOver, {}); // bytes of the exchange that was given up
    }
    for (int n = static_cast<int>(aAfter) + 1; n <= kTokens; ++n) {
      out.push_back({ aId, n });
    }
    out.push_back({ aId, 0 });
    if (out.size() < 4) {
      return out;
    }
    const auto at = 1 + mRandom() % (out.size() - 3);
    if (Strikes(Fault::DuplicateAnswer, Step::RequestRelay)) {
      out.insert(out.begin() + static_cast<std::ptrdiff_t>(at), out[at]);
    }
    if (Strikes(Fault::ReorderedAnswer, Step::RequestRelay)) {
      std::swap(out[at], out[at + 1]);
    }
    if (Strikes(Fault::LateAnswer, Step::RequestRelay)) {
      out.insert(out.begin() + static_cast<std::ptrdiff_t>(at), { "req-other", kTokens });
    }
    for (const auto it :
         { Fault::EndpointCut, Fault::EndpointCrash, Fault::OneWayCut, Fault::CrashingRequest }) {
      if (!Strikes(it, Step::RequestRelay)) {
        continue;
      }
      const auto cut = 1 + mRandom() % (out.size() - 1); // at the latest before the end marker
      mLeftOver.assign(out.begin() + static_cast<std::ptrdiff_t>(cut), out.end());
      out.resize(cut);
      out.push_back({ aId, -1 });
      if (it == Fault::EndpointCrash || it == Fault::CrashingRequest) {
        mKept.erase({ aEngine, aId });
      }
    }
    return out;
  }

  Told Read(Caller& aCaller, int aEngine, StreamValidator& aGuard)
  {
    for (const auto& it : EventsOf(aCaller.mId, aEngine, aGuard.LastSequence())) {
      if (it.mToken < 0) {
        return Told::NotRun;
      }
      if (it.mToken == 0) {
        return Told::Done;
      }
      const auto data = R"({"id":")" + it.mId + "\"}";
      const auto ruling = aGuard.Check(data, it.mToken, it.mToken);
      if (ruling == EventCheckResult::Duplicate && !Planted(kNoGuard)) {
        continue;
      }
      if (ruling != EventCheckResult::InOrder && !Planted(kNoGuard)) {
        return Told::NotRun;
      }
      aCaller.mText.push_back(it.mId + "/" + std::to_string(it.mToken));
      aCaller.mEngine = aEngine;
      if (!RouterGoesOn(Step::RequestRelay)) {
        return Told::Nothing;
      }
    }
    return Told::NotRun;
  }

  CellOrder mOrder;
  std::mt19937 mRandom;
  ManualClock mClock;
  EchoingEngines mEchoing;
  std::map<std::string, int> mRuns;
  std::map<std::pair<int, std::string>, bool> mKept;
  std::vector<Event> mLeftOver;
  std::map<Fault, bool> mStruck;
  bool mStriking = false;
  bool mGone = false;
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
    const bool dispatch = aStep == Step::RequestDispatch;
    const bool relay = aStep == Step::RequestRelay;
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
        return dispatch || relay ? "" : "the endpoint takes no part before the dispatch";
      case Fault::LateAnswer:
      case Fault::DuplicateAnswer:
      case Fault::ReorderedAnswer:
        return relay ? "" : "answers are read at request.relay";
      case Fault::LaggingInstanceList:
        return dispatch ? "" : "an endpoint that is gone is found at request.dispatch";
      case Fault::StoreSlow:
      case Fault::StoreStale:
      case Fault::StoreLosesAnswer:
      case Fault::TopUpDuringCut:
        return "touches the drawing of rights, which is grant.*";
      case Fault::RoutersCut:
        return "a request is served by one router; news between routers is advice only";
      case Fault::OperatorsRace:
        return "a request keeps the configuration that it was admitted under";
      case Fault::Count:
        break;
    }
    return "";
  }

  std::vector<std::string> Plants() const override
  {
    return { std::string(kRetryShown),
             std::string(kNoGuard),
             std::string(kNotRunSent),
             std::string(kReuse),
             std::string(kSendLate) };
  }

  CellRun Run(const CellOrder& aOrder) override { return RequestWorld(aOrder).Run(); }
};

} // namespace

ScenarioPtr MakeRequestScenario()
{
  return std::make_unique<RequestScenario>();
}

} // namespace gentianloom::fault
