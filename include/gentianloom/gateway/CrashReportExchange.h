#ifndef GENTIANLOOM_GATEWAY_CRASH_REPORT_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_CRASH_REPORT_EXCHANGE_H

#include "gentianloom/gateway/BlockedRequests.h"
#include "gentianloom/gateway/CrashEvidenceRecord.h"
#include "gentianloom/gateway/EndpointEndExchange.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/relay/RequestGuard.h"
#include "gentianloom/routing/CrashEvidence.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Message about the runs with one key of CrashEvidence.
struct CrashMessage
{
  /// A CrashReport, a CrashQuery that asks whether an endpoint survived a run which was sent since,
  /// or CrashCleared, its response.
  PeerMessageKind mKind = PeerMessageKind::CrashReport;
  std::string mKey;
  Millis mSentAgo{ 0 };  ///< when the run was sent to its endpoint
  Millis mEndedAgo{ 0 }; ///< of a report: when the run ended
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeCrashMessage(const CrashMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<CrashMessage> DecodeCrashMessage(std::string_view aBytes);

/**
 * @brief Finds the requests that crash the endpoints which run them, and blocks them at all
 *        instances.
 *
 * A request itself may be the cause, or a part of its prompt that others share. Such requests come
 * at any instance, and no instance sees more than its own runs. Each reports the interruptions
 * under which an endpoint has ended to the keepers of the request's keys, by datagram. An endpoint
 * has ended if its address does not keep a connection open right after the interruption, or belongs
 * to another process within kReplacementTime. A request that was sent there after any instance saw
 * the process end is not the cause. A keeper that finds the evidence sufficient asks all instances
 * whether an endpoint has survived a run with the key since; if none answers so, it blocks the
 * requests with the key. What is known of requests that are not blocked yet outlives all instances
 * in the records of CrashEvidenceRecord.
 */
class CrashReportExchange final : public RequestGuard
{
public:
  /// Instances that collect the reports on one key.
  static constexpr std::size_t kKeepers = 8;

  /// Time within which a new process at an endpoint's address shows that the old one has ended.
  static constexpr Millis kReplacementTime{ 10'000 };

  /// Returns whether an endpoint keeps a connection open, after a bounded time.
  using Probe = std::function<net::Task<bool>(std::string aAddress)>;

  /**
   * @param aSelf address of this instance, the same that its peers know
   * @param aPeers returns the addresses of the other instances
   */
  CrashReportExchange(net::Loop& aLoop,
                      PeerSocket& aSocket,
                      std::string aSelf,
                      std::function<std::vector<std::string>()> aPeers,
                      Probe aProbe,
                      EndpointEndExchange& aEnds,
                      AsyncStore& aStore,
                      const Clock& aClock,
                      Metrics& aMetrics);

  /// @brief Starts to handle messages and to write records. Call it once.
  void Start();

  std::optional<Millis> BlockedFor(std::span<const std::string> aKeys) const override;
  bool IsTrialDue(std::span<const std::string> aKeys) const override;
  net::Task<bool> TakeTrial(std::vector<std::string> aKeys) override;
  bool MayRetry(const std::string& aKey) const override;
  void OnInterrupted(std::vector<std::string> aKeys,
                     TimePoint aSentAt,
                     const std::string& aAddress) override;
  void OnSurvived(std::span<const std::string> aKeys, TimePoint aSentAt) override;

  /// @brief Notes that another process runs at an address than before.
  void OnNewProcess(const std::string& aAddress);

  /// @brief The blocked requests, which take over the stored records.
  BlockedRequests& Blocked() { return mBlocked; }

private:
  /// A run that was interrupted at an endpoint of which it is not known yet whether it has ended.
  struct UnprovedInterruption
  {
    std::vector<std::string> mKeys;
    TimePoint mSentAt{};
    TimePoint mEndedAt{};
  };

  net::Task<void> ProbeEndpoint(std::string aAddress);
  /// Reports the interruptions at one endpoint, which has ended.
  void ReportInterruptions(std::span<const UnprovedInterruption> aInterruptions);
  std::vector<std::string> KeepersOf(const std::string& aKey) const;
  void SendToKeepers(const CrashMessage& aMessage);
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);
  void AddInterruption(const std::string& aKey, TimePoint aSentAt, TimePoint aEndedAt);
  /// Blocks a suspect unless an instance knows that an endpoint survived it.
  net::Task<void> ConfirmAndBlock(std::string aKey);
  /// Starts ConfirmAndBlock() if the evidence against a key is sufficient.
  void BlockIfSufficient(const std::string& aKey);
  /// Returns the place of this instance among the keepers of a key; their number if it is none.
  std::ptrdiff_t KeeperRank(const std::string& aKey) const;
  Millis RecordDelay(const std::string& aKey) const;
  net::Task<void> Run();
  void RemoveExpired();

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::string mSelf;
  std::function<std::vector<std::string>()> mPeers;
  Probe mProbe;
  EndpointEndExchange& mEnds;
  const Clock& mClock;
  Metrics& mMetrics;
  CrashEvidence mEvidence;
  BlockedRequests mBlocked;
  CrashEvidenceRecord mEvidenceRecord;
  /// Those whose endpoint is being probed, by its address.
  std::map<std::string, std::vector<UnprovedInterruption>> mUnproved;
  /// Those whose endpoint kept a connection open, by its address, for kReplacementTime.
  std::map<std::string, std::vector<UnprovedInterruption>> mStillOpen;
  std::set<std::string> mConfirming; ///< keys for which ConfirmAndBlock() runs
  TimePoint mNextQueryAt{};
  TimePoint mReportWindowAt{}; ///< start of the current second of reports
  int mReportsInWindow = 0;
};

} // namespace gentianloom

#endif
