#include "gentianloom/membership/MembershipDuty.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/peer/PeerCall.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::size_t kToldOfLeaving = 6;  ///< members told directly that this router leaves
constexpr std::size_t kNumberBytes = 24;   ///< numbers and field headers of one piece of news
constexpr std::size_t kEnvelopeBytes = 60; ///< frame, call name and numbers of one message
constexpr std::int64_t kWholePermille = 1000;

/// Size of a message on the wire without TCP and IP, from the lengths of its texts.
std::size_t SizeOf(const wire::Gossip& aGossip)
{
  std::size_t n = kEnvelopeBytes + aGossip.configurationDigest.size();
  for (const auto& it : aGossip.members) {
    n += kNumberBytes + it.name.size() + it.incarnation.size() + it.callerAddress.size() +
         it.peerAddress.size() + it.zone.size();
  }
  for (const auto& it : aGossip.crashes) {
    n += kNumberBytes + it.fingerprint.size() + it.endpoint.size() + it.observation.size();
  }
  for (const auto& it : aGossip.endpoints) {
    n += kNumberBytes + it.endpoint.size() + it.state.size();
  }
  return n;
}

} // namespace

MembershipDuty::MembershipDuty(const Settings& aSettings,
                               std::string aIncarnation,
                               const MembershipTimes& aTimes,
                               const Clock& aClock,
                               Metrics& aMetrics)
  : mSettings(aSettings)
  , mTimes(aTimes)
  , mClock(aClock)
  , mLoad([] { return 0; })
  , mConfiguration([] { return AcceptedConfigurationPtr(); })
  , mMessages(aMetrics.CounterOf("gentianloom_membership_messages_total"))
  , mBytes(aMetrics.CounterOf("gentianloom_membership_bytes_total"))
  , mSuspicions(aMetrics.CounterOf("gentianloom_membership_suspicions_total"))
  , mRefutations(aMetrics.CounterOf("gentianloom_membership_refutations_total"))
  , mMissed(aMetrics.CounterOf("gentianloom_membership_missed_probes_total"))
  , mLiving(aMetrics.GaugeOf("gentianloom_membership_living"))
{
  mDescription.name = aSettings.mName;
  mDescription.incarnation = std::move(aIncarnation);
  mDescription.zone = aSettings.mZone;
  mDescription.startedMs = aClock.WallTime().count();
}

MembershipDuty::~MembershipDuty()
{
  Stop();
}

void MembershipDuty::Start(const std::string& aCallerAddress, const std::string& aPeerAddress)
{
  {
    const std::lock_guard lock(mMutex);
    mDescription.callerAddress = aCallerAddress;
    mDescription.peerAddress = aPeerAddress;
    mCore =
      std::make_unique<MembershipCore>(mDescription, mTimes, StableHash(mDescription.incarnation));
    for (const auto& it : mSettings.mPeers) {
      mCore->AddCandidate(it.mName, it.mAddress);
    }
  }
  mThread = std::thread([this] { Run(); });
}

void MembershipDuty::Stop()
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

void MembershipDuty::AddCandidate(const std::string& aName, const std::string& aAddress)
{
  const std::lock_guard lock(mMutex);
  if (mCore) {
    mCore->AddCandidate(aName, aAddress);
  }
}

wire::MemberNews MembershipDuty::Self() const
{
  const std::lock_guard lock(mMutex);
  return mCore ? mCore->Self() : mDescription;
}

std::vector<Member> MembershipDuty::Others() const
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

std::vector<PeerSettings> MembershipDuty::LivePeers() const
{
  std::vector<PeerSettings> out;
  for (const auto& it : Others()) {
    if (it.mNews.standing == wire::Standing::ALIVE) {
      out.push_back({ it.mNews.name, it.mNews.peerAddress });
    }
  }
  return out;
}

std::size_t MembershipDuty::Living() const
{
  const std::lock_guard lock(mMutex);
  return mCore ? mCore->Living() : 0;
}

void MembershipDuty::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    const auto next = mClock.Now() + mTimes.mPeriod;
    RunPeriod();
    const auto left = std::max(Micros(0), next - mClock.Now());
    lock.lock();
    mWake.wait_for(lock, left, [this] { return mStopping; });
  }
}

void MembershipDuty::RunPeriod()
{
  const auto load = static_cast<std::int32_t>(std::clamp<std::int64_t>(mLoad(), 0, kWholePermille));
  const auto inForce = mConfiguration();
  std::optional<ProbeTarget> target;
  std::vector<ProbeTarget> helpers;
  {
    const std::lock_guard lock(mMutex);
    mCore->SetLoad(load);
    mCore->SetConfiguration(inForce ? inForce->Version() : 0);
    target = mCore->StartPeriod(mClock.Now());
    if (target) {
      helpers = mCore->Helpers(target->mName);
    }
  }
  const auto begun = mClock.Now();
  bool reached = !target || ProbeDirectly(*target);
  for (const auto& it : helpers) {
    reached = reached || ProbeThrough(it, *target);
  }
  if (target && !reached) {
    mMissed.Add();
    const auto longest = 3 * (mTimes.mProbeTimeout + mTimes.mHelpers * mTimes.mIndirectTimeout);
    const std::lock_guard lock(mMutex);
    if (mClock.Now() - begun < longest) { // else this process was paused: no reason to blame
      mCore->OnMissed(target->mName, mClock.Now());
    }
  }
  LogStandings();
}

wire::ProbeRequest MembershipDuty::RequestTo(const std::string& aName)
{
  wire::ProbeRequest out;
  out.sender = mDescription.name;
  {
    const std::lock_guard lock(mMutex);
    out.sequence = ++mSequence;
    out.gossip.members = mCore->NewsFor(aName, false);
  }
  AddOthersNews(out.gossip);
  return out;
}

void MembershipDuty::AddOthersNews(wire::Gossip& aGossip)
{
  if (const auto inForce = mConfiguration()) {
    aGossip.configurationVersion = inForce->Version();
    aGossip.configurationDigest = inForce->Digest();
  }
  for (auto* it : mSources) {
    it->AddTo(aGossip);
  }
  mMessages.Add();
  mBytes.Add(SizeOf(aGossip));
}

void MembershipDuty::Take(const wire::Gossip& aGossip)
{
  mMessages.Add();
  mBytes.Add(SizeOf(aGossip));
  if (aGossip.members.empty()) {
    return;
  }
  const auto& sender = aGossip.members.front();
  {
    const std::lock_guard lock(mMutex);
    mCore->Learn(aGossip.members, mClock.Now());
    mCore->OnReached(sender.name, mClock.Now());
  }
  for (auto* it : mSinks) {
    it->Learn(aGossip, sender);
  }
}

bool MembershipDuty::ProbeDirectly(const ProbeTarget& aTarget)
{
  const auto request = RequestTo(aTarget.mName);
  wire::ProbeAnswer answer;
  const auto result =
    CallPeer(aTarget.mAddress, mTimes.mProbeTimeout, Step::RequestPlace, [&](auto& it) {
      it.Probe(answer, request);
    });
  if (result) {
    Take(answer.gossip);
  }
  return result.has_value();
}

bool MembershipDuty::ProbeThrough(const ProbeTarget& aHelper, const ProbeTarget& aTarget)
{
  const auto request = RequestTo(aHelper.mName);
  wire::ProbeAnswer answer;
  const auto result =
    CallPeer(aHelper.mAddress, mTimes.mIndirectTimeout, Step::RequestPlace, [&](auto& it) {
      it.ProbeFor(answer, request, aTarget.mName);
    });
  if (result) {
    Take(answer.gossip);
  }
  return result && answer.reached;
}

wire::ProbeAnswer MembershipDuty::OnProbe(const wire::ProbeRequest& aRequest)
{
  wire::ProbeAnswer out;
  out.sender = mDescription.name;
  out.sequence = aRequest.sequence;
  out.reached = true;
  bool joined = false;
  {
    const std::lock_guard lock(mMutex);
    if (!mCore) {
      wire::PeerError error;
      error.code = static_cast<int>(ErrorCode::PeerUnavailable);
      error.text = "this router is still starting";
      throw error;
    }
    joined = !mCore->Knows(aRequest.sender);
  }
  Take(aRequest.gossip);
  {
    const std::lock_guard lock(mMutex);
    out.gossip.members = mCore->NewsFor(aRequest.sender, joined);
  }
  AddOthersNews(out.gossip);
  return out;
}

wire::ProbeAnswer MembershipDuty::OnProbeFor(const wire::ProbeRequest& aRequest,
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

void MembershipDuty::TellNow(std::size_t aMost)
{
  auto peers = LivePeers();
  peers.resize(std::min(peers.size(), aMost));
  for (const auto& it : peers) {
    ProbeDirectly({ it.mName, it.mAddress });
  }
}

void MembershipDuty::AnnounceLeaving()
{
  std::vector<ProbeTarget> told;
  {
    const std::lock_guard lock(mMutex);
    if (!mCore) {
      return;
    }
    mCore->Leave();
    while (told.size() < kToldOfLeaving) {
      const auto more = mCore->Helpers({});
      const auto before = told.size();
      for (const auto& it : more) {
        const bool there = std::any_of(
          told.begin(), told.end(), [&](const auto& aKnown) { return aKnown.mName == it.mName; });
        if (!there) {
          told.push_back(it);
        }
      }
      if (told.size() == before) {
        break;
      }
    }
  }
  for (const auto& it : told) {
    ProbeDirectly(it);
  }
}

void MembershipDuty::LogStandings()
{
  std::vector<std::pair<std::string, wire::Standing::type>> changes;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [name, member] : mCore->Others()) {
      auto& logged = mLogged.try_emplace(name, wire::Standing::DEAD).first->second;
      if (logged != member.mNews.standing) {
        logged = member.mNews.standing;
        changes.emplace_back(name, logged);
      }
    }
    mLiving.Set(static_cast<std::int64_t>(mCore->Living()));
    mSuspicions.Add(static_cast<std::uint64_t>(mCore->Suspicions()) - mSuspicions.Value());
    mRefutations.Add(static_cast<std::uint64_t>(mCore->Refutations()) - mRefutations.Value());
  }
  for (const auto& [name, standing] : changes) {
    LogChange(standing == wire::Standing::ALIVE ? LogLevel::Info : LogLevel::Warning,
              "membership",
              "standing of a router changed",
              { { "router", name }, { "standing", std::string(ToString(standing)) } });
  }
}

} // namespace gentianloom
