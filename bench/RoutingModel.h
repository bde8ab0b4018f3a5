#ifndef GENTIANLOOM_BENCH_ROUTING_MODEL_H
#define GENTIANLOOM_BENCH_ROUTING_MODEL_H

#include "gentianloom/routing/AdmissionController.h"
#include "gentianloom/routing/EndpointTable.h"

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace gentianloom::bench {

/// Parameters of one run of the model.
struct RoutingRun
{
  std::string mPolicy; ///< name, as in the settings
  bool mAdmission =
    true; ///< false: requests are placed at once and queue at the engines (baselines)
  bool mEjection = true;     ///< false: failing endpoints stay in use (baselines)
  double mLoad = 1.0;        ///< requested fraction of the endpoints' capacity
  bool mSlowEndpoint = true; ///< one endpoint is kSlowFactor times slower
  bool mCrash = true;        ///< one endpoint is down for part of the run
  double mSeconds = 120;
  std::uint64_t mSeed = 1;
};

/// Results of one run, without its warm-up.
struct RoutingFigures
{
  std::int64_t mAsked = 0;
  std::int64_t mInTime = 0; ///< complete responses within the deadline
  std::int64_t mLate = 0;
  std::int64_t mRefused = 0;
  std::int64_t mWronglyRefused = 0; ///< refused although half of the slots were free
  std::int64_t mBroken = 0;
  double mGoodput = 0;       ///< complete responses within the deadline, per second
  double mGoodTokens = 0;    ///< estimated tokens of those, per second
  double mFirstTokenMs[3]{}; ///< median, 95th and 99th percentile
  double mPrefixHits = 0;    ///< fraction of the prompt blocks that were cached
  double mLeastShare = 0; ///< minimum over the organisations of received share divided by due share
};

/**
 * @brief Discrete-event simulation of engines that drives the real placement and admission.
 *
 * An engine prefills one prompt at a time and decodes up to its slots at once; it has a bounded
 * prefix cache. Reports and cache events reach the routers 2 s late, some events are lost.
 */
class RoutingModel
{
public:
  explicit RoutingModel(const RoutingRun& aRun);
  ~RoutingModel();

  RoutingFigures Run();

private:
  struct Engine;
  struct Request;
  struct Router;
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };
  using RequestPtr = std::shared_ptr<Request>;

  void At(TimePoint aWhen, std::function<void()> aRun);
  void After(double aMs, std::function<void()> aRun);
  void Arrive(std::size_t aOrganisation);
  void Report();
  void Submit(const RequestPtr& aRequest);
  bool TryPlace(const RequestPtr& aRequest);
  void Dispatch(Router& aRouter);
  void Refuse(const RequestPtr& aRequest);
  void StartOn(Engine& aEngine, const RequestPtr& aRequest);
  void StartPrefill(Engine& aEngine);
  void FirstToken(Engine& aEngine, const RequestPtr& aRequest);
  void End(Engine& aEngine, const RequestPtr& aRequest, AttemptOutcome aEnd);
  void CrashEngine(Engine& aEngine);
  void Sweep();
  double Uniform();
  RoutingFigures Figures() const;

  RoutingRun mRun;
  RandomSource mRandom;
  ManualClock mClock;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::unique_ptr<AcceptedConfiguration> mConfiguration;
  std::vector<std::unique_ptr<Engine>> mEngines;
  std::vector<std::unique_ptr<Router>> mRouters;
  std::vector<double> mRates;  ///< requests per second of each organisation
  std::vector<double> mServed; ///< tokens of each organisation's responses in time
  std::vector<double> mWanted; ///< requested tokens of each organisation
  std::vector<double> mFirstTokens;
  RoutingFigures mFigures;
  double mBlocks = 0;
  double mHitBlocks = 0;
  TimePoint mStart;
};

} // namespace gentianloom::bench

#endif
