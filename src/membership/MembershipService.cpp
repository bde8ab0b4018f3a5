#include "gentianloom/membership/MembershipService.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/peer/PeerCall.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// AnnounceLeaving() stops choosing members to notify at this number, or earlier when a random
/// choice brings no new member.
constexpr std::size_t kLeaveNotificationTarget = 6;
constexpr std::size_t kFixedEntryBytes = 24;      ///< numbers and field headers of one entry
constexpr std::size_t kMessageOverheadBytes = 60; ///< frame, method name and numbers
constexpr std::int64_t kMaxLoadPermille = 1000;

/// Estimates the size of a message without TCP and IP headers from the lengths of its strings.
std::size_t EstimateWireSize(const wire::Gossip& aGossip)
{
  std::size_t n = kMessageOverheadBytes + aGossip.configurationDigest.size();
  for (const auto& it : aGossip.members) {
    n += kFixedEntryBytes + it.name.size() + it.incarnation.size() + it.callerAddress.size() +
         it.peerAddress.size() + it.zone.size();
  }
  for (const auto& it : aGossip.crashes) {
    n += kFixedEntryBytes + it.fingerprint.size() + it.endpoint.size() + it.observation.size();
  }
  for (const auto& it : aGossip.endpoints) {
    n += kFixedEntryBytes + it.endpoint.size() + it.state.size();
  }
  return n;
}

} // namespace

MembershipService::MembershipService(const Settings& aSettings,
                                     std::string aIncarnation,
                                     const MembershipOptions& aOptions,
                                     const Clock& aClock,
                                     Metrics& aMetrics)
  : mSettings(aSettings)
  , mOptions(aOptions)
  , mClock(aClock)
  , mLoadSource([] { return 0; })
  , mConfigurationSource([] { return AcceptedConfigurationPtr(); })
  , mMessages(aMetrics.CounterOf("gentianloom_membership_messages_total"))
  , mBytes(aMetrics.CounterOf("gentianloom_membership_bytes_total"))
  , mSuspicions(aMetrics.CounterOf("gentianloom_membership_suspicions_total"))
  , mRefutations(aMetrics.CounterOf("gentianloom_membership_refutations_total"))
  , mMissedProbes(aMetrics.CounterOf("gentianloom_membership_missed_probes_total"))
  , mLiveMembers(aMetrics.GaugeOf("gentianloom_membership_living"))
{
  mSelfDescription.name = aSettings.mName;
  mSelfDescription.incarnation = std::move(aIncarnation);
  mSelfDescription.zone = aSettings.mZone;
  mSelfDescription.startedMs = aClock.WallTime().count();
}

MembershipService::~MembershipService()
{
  Stop();
}

void MembershipService::Start(const std::string& aCallerAddress, const std::string& aPeerAddress)
{
  {
    const std::lock_guard lock(mMutex);
    mSelfDescription.callerAddress = aCallerAddress;
    mSelfDescription.peerAddress = aPeerAddress;
    mCore = std::make_unique<MembershipCore>(
      mSelfDescription, mOptions, StableHash(mSelfDescription.incarnation));
    for (const auto& it : mSettings.mPeers) {
      mCore->AddCandidate(it.mName, it.mAddress);
    }
  }
  mThread = std::thread([this] { Run(); });
}

void MembershipService::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void MembershipService::AddCandidate(const std::string& aName, const std::string& aAddress)
{
  const std::lock_guard lock(mMutex);
  if (mCore) {
    mCore->AddCandidate(aName, aAddress);
  }
}

wire::MemberNews MembershipService::Self() const
{
  const std::lock_guard lock(mMutex);
  return mCore ? mCore->Self() : mSelfDescription;
}

std::vector<Member> MembershipService::Others() const
{
  std::vector<Member> out;
  const std::lock_guard lock(mMutex);
  if (mCore) {
    for (const auto& [name, member] : mCore->Others()) {
      out.push_back(member);
    }
  }
  return out;
}

std::vector<PeerSettings> MembershipService::LivePeers() const
{
  std::vector<PeerSettings> out;
  for (const auto& it : Others()) {
    if (it.mInfo.standing == wire::Standing::ALIVE) {
      out.push_back({ it.mInfo.name, it.mInfo.peerAddress });
    }
  }
  return out;
}

std::size_t MembershipService::LiveCount() const
{
  const std::lock_guard lock(mMutex);
  return mCore ? mCore->LiveCount() : 0;
}

void MembershipService::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    const auto next = mClock.Now() + mOptions.mPeriod;
    RunPeriod();
    const auto left = std::max(Micros(0), next - mClock.Now());
    lock.lock();
    mWake.wait_for(lock, left, [this] { return mStopping; });
  }
}

void MembershipService::RunPeriod()
{
  const auto load =
    static_cast<std::int32_t>(std::clamp<std::int64_t>(mLoadSource(), 0, kMaxLoadPermille));
  const auto configuration = mConfigurationSource();
  std::optional<ProbeTarget> target;
  std::vector<ProbeTarget> helpers;
  {
    const std::lock_guard lock(mMutex);
    mCore->SetLoad(load);
    mCore->SetConfiguration(configuration ? configuration->Version() : 0);
    target = mCore->StartPeriod(mClock.Now());
    if (target) {
      helpers = mCore->ChooseHelpers(target->mName);
    }
  }
  const auto startTime = mClock.Now();
  bool reached = !target || ProbeDirectly(*target);
  for (const auto& it : helpers) {
    reached = reached || ProbeIndirectly(it, *target);
  }
  if (target && !reached) {
    mMissedProbes.Add();
    const auto maxDuration =
      3 * (mOptions.mProbeTimeout + mOptions.mHelperCount * mOptions.mIndirectTimeout);
    const std::lock_guard lock(mMutex);
    // A longer time means that this process was paused, so the target may well have answered.
    if (mClock.Now() - startTime < maxDuration) {
      mCore->OnProbeFailed(target->mName, mClock.Now());
    }
  }
  LogStandingChanges();
}

wire::ProbeRequest MembershipService::MakeProbeRequest(const std::string& aName)
{
  wire::ProbeRequest out;
  out.sender = mSelfDescription.name;
  {
    const std::lock_guard lock(mMutex);
    out.sequence = ++mSequence;
    out.gossip.members = mCore->CollectUpdates(aName, false);
  }
  CompleteGossip(out.gossip);
  return out;
}

void MembershipService::CompleteGossip(wire::Gossip& aGossip)
{
  if (const auto configuration = mConfigurationSource()) {
    aGossip.configurationVersion = configuration->Version();
    aGossip.configurationDigest = configuration->Digest();
  }
  for (auto* it : mSources) {
    it->AddTo(aGossip);
  }
  mMessages.Add();
  mBytes.Add(EstimateWireSize(aGossip));
}

void MembershipService::ReceiveGossip(const wire::Gossip& aGossip)
{
  mMessages.Add();
  mBytes.Add(EstimateWireSize(aGossip));
  if (aGossip.members.empty()) {
    return;
  }
  const auto& sender = aGossip.members.front();
  {
    const std::lock_guard lock(mMutex);
    mCore->ApplyUpdates(aGossip.members, mClock.Now());
    mCore->OnContact(sender.name, mClock.Now());
  }
  for (auto* it : mSinks) {
    it->OnGossip(aGossip, sender);
  }
}

bool MembershipService::ProbeDirectly(const ProbeTarget& aTarget)
{
  const auto request = MakeProbeRequest(aTarget.mName);
  wire::ProbeAnswer answer;
  const auto result =
    CallPeer(aTarget.mAddress, mOptions.mProbeTimeout, Step::RequestPlace, [&](auto& it) {
      it.Probe(answer, request);
    });
  if (result) {
    ReceiveGossip(answer.gossip);
  }
  return result.has_value();
}

bool MembershipService::ProbeIndirectly(const ProbeTarget& aHelper, const ProbeTarget& aTarget)
{
  const auto request = MakeProbeRequest(aHelper.mName);
  wire::ProbeAnswer answer;
  const auto result =
    CallPeer(aHelper.mAddress, mOptions.mIndirectTimeout, Step::RequestPlace, [&](auto& it) {
      it.ProbeFor(answer, request, aTarget.mName);
    });
  if (result) {
    ReceiveGossip(answer.gossip);
  }
  return result && answer.reached;
}

wire::ProbeAnswer MembershipService::OnProbe(const wire::ProbeRequest& aRequest)
{
  wire::ProbeAnswer out;
  out.sender = mSelfDescription.name;
  out.sequence = aRequest.sequence;
  out.reached = true;
  bool isJoining = false;
  {
    const std::lock_guard lock(mMutex);
    if (!mCore) {
      wire::PeerError error;
      error.code = static_cast<int>(ErrorCode::PeerUnavailable);
      error.text = "this router is still starting";
      throw error;
    }
    isJoining = !mCore->IsKnownAndNotDead(aRequest.sender);
  }
  ReceiveGossip(aRequest.gossip);
  {
    const std::lock_guard lock(mMutex);
    out.gossip.members = mCore->CollectUpdates(aRequest.sender, isJoining);
  }
  CompleteGossip(out.gossip);
  return out;
}

wire::ProbeAnswer MembershipService::OnProbeFor(const wire::ProbeRequest& aRequest,
                                                const std::string& aTarget)
{
  auto out = OnProbe(aRequest);
  ProbeTarget target{ aTarget, {} };
  {
    const std::lock_guard lock(mMutex);
    target.mAddress = mCore->AddressOf(aTarget);
  }
  out.reached = !target.mAddress.empty() && ProbeDirectly(target);
  return out;
}

void MembershipService::PushGossip(std::size_t aMaxPeers)
{
  auto peers = LivePeers();
  peers.resize(std::min(peers.size(), aMaxPeers));
  for (const auto& it : peers) {
    ProbeDirectly({ it.mName, it.mAddress });
  }
}

void MembershipService::AnnounceLeaving()
{
  std::vector<ProbeTarget> targets;
  {
    const std::lock_guard lock(mMutex);
    if (!mCore) {
      return;
    }
    mCore->Leave();
    while (targets.size() < kLeaveNotificationTarget) {
      // The empty name excludes no member, so this returns random alive members to notify.
      const auto helpers = mCore->ChooseHelpers({});
      const auto countBefore = targets.size();
      for (const auto& it : helpers) {
        const bool isIncluded =
          std::any_of(targets.begin(), targets.end(), [&](const auto& aKnown) {
            return aKnown.mName == it.mName;
          });
        if (!isIncluded) {
          targets.push_back(it);
        }
      }
      if (targets.size() == countBefore) {
        break;
      }
    }
  }
  for (const auto& it : targets) {
    ProbeDirectly(it);
  }
}

void MembershipService::LogStandingChanges()
{
  std::vector<std::pair<std::string, wire::Standing::type>> changes;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [name, member] : mCore->Others()) {
      auto& logged = mLoggedStandings.try_emplace(name, wire::Standing::DEAD).first->second;
      if (logged != member.mInfo.standing) {
        logged = member.mInfo.standing;
        changes.emplace_back(name, logged);
      }
    }
    mLiveMembers.Set(static_cast<std::int64_t>(mCore->LiveCount()));
    mSuspicions.Add(static_cast<std::uint64_t>(mCore->Suspicions()) - mSuspicions.Value());
    mRefutations.Add(static_cast<std::uint64_t>(mCore->Refutations()) - mRefutations.Value());
  }
  for (const auto& [name, standing] : changes) {
    LogChange(standing == wire::Standing::ALIVE ? LogLevel::Info : LogLevel::Warning,
              "membership",
              "the standing of a router changed",
              { { "router", name }, { "standing", std::string(ToString(standing)) } });
  }
}

} // namespace gentianloom
