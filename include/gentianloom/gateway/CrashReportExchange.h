#ifndef GENTIANLOOM_GATEWAY_CRASH_REPORT_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_CRASH_REPORT_EXCHANGE_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/gateway/EndpointEndExchange.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/relay/RequestGuard.h"
#include "gentianloom/routing/CrashEvidence.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Prefix of the records of blocked requests. All instances watch it with the records of the
/// instances, since a watch of its own would cost as many calls again.
inline constexpr std::string_view kBlockedRequestPrefix =
  "/gentianloom/instances/blocked-requests/";

/// Message about one request.
struct CrashMessage
{
  PeerMessageKind mKind = PeerMessageKind::CrashReport; ///< or CrashCleared
  std::string mFingerprint;
  Millis mSentAgo{ 0 };  ///< when the run was sent to its endpoint
  Millis mEndedAgo{ 0 }; ///< when the run ended
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeCrashMessage(const CrashMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<CrashMessage> DecodeCrashMessage(std::string_view aBytes);

/// Content of a key under kBlockedRequestPrefix.
struct BlockedRequestRecord
{
  bool mIsBlocked = true; ///< false: a run completed, so that the request was blocked wrongly
  Millis mFirstInterruptionAgo{ 0 };
  Millis mBlockTimeLeft{ 0 };
};

/// @brief Serializes a record as JSON.
std::string ToText(const BlockedRequestRecord& aRecord);

/// @brief Parses a stored record. @return ErrorCode::MalformedJson if the text is not a valid one
Result<BlockedRequestRecord> ParseBlockedRequestRecord(std::string_view aText);

/**
 * @brief Blocks requests that crash the endpoints which run them, at all instances.
 *
 * Callers repeat such a request at any instance, and no instance sees more than its own runs. Each
 * reports the interruptions under which an endpoint has ended to the keepers of the request's
 * fingerprint, by datagram. An endpoint has ended if its address does not keep a connection open
 * right after the interruption, or belongs to another process within kReplacementTime. A request
 * that was sent there after any instance saw the process end is not the cause. A keeper that finds
 * the evidence sufficient blocks the request and writes that to the key-value service, from which
 * all instances learn it, also those that start later. An instance that has seen a run complete
 * since the first interruption takes the block back.
 */
class CrashReportExchange final : public RequestGuard
{
public:
  /// Instances that collect the reports on one request.
  static constexpr std::size_t kKeepers = 8;
  /// How long a request is blocked. After that one more interruption blocks it again.
  static constexpr Millis kBlockTime{ 600'000 };

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

  std::optional<Millis> BlockedFor(const std::string& aFingerprint) const override;
  bool MayRetry(const std::string& aFingerprint) const override;
  void OnInterrupted(const std::string& aFingerprint,
                     TimePoint aSentAt,
                     const std::string& aAddress) override;
  void OnCompleted(const std::string& aFingerprint, TimePoint aSentAt) override;

  /// @brief Notes that another process runs at an address than before.
  void OnNewProcess(const std::string& aAddress);

  /// @brief Takes over the stored record of a request.
  void OnRecord(const KeyValue& aEntry);
  /// @brief Notes that a stored record was deleted or has expired.
  void OnRecordDeleted(std::string_view aKey);
  /// @brief Takes over all stored records; those that are missing are written again.
  void OnRecords(std::span<const KeyValue> aEntries);

private:
  /// A request that is blocked, or was until not long ago.
  struct Block
  {
    TimePoint mFirstInterruptionAt{};
    TimePoint mUntil{};
    bool mIsCleared = false; ///< blocked wrongly; kept until that is recorded
    bool mIsRecorded = false;
    TimePoint mRecordAt{}; ///< when this instance writes the record unless another one has
    Revision mRevision = 0;
  };

  /// A run that was interrupted at an endpoint of which it is not known yet whether it has ended.
  struct UnprovedInterruption
  {
    std::string mFingerprint;
    TimePoint mSentAt{};
    TimePoint mEndedAt{};
  };

  net::Task<void> ProbeEndpoint(std::string aAddress);
  /// Reports interruptions whose endpoint has ended.
  void ReportInterruptions(std::span<const UnprovedInterruption> aInterruptions);
  std::vector<std::string> KeepersOf(const std::string& aFingerprint) const;
  void SendToKeepers(const CrashMessage& aMessage);
  void OnDatagram(std::string_view aBytes);
  void AddInterruption(const std::string& aFingerprint, TimePoint aSentAt, TimePoint aEndedAt);
  void BlockRequest(const std::string& aFingerprint, TimePoint aFirstInterruptionAt);
  void ClearBlock(const std::string& aFingerprint, Block& aBlock);
  Millis RecordDelay(const std::string& aFingerprint) const;
  net::Task<void> Run();
  net::Task<void> WriteDueRecords();
  net::Task<void> WriteRecord(std::string aFingerprint);
  void RemoveExpired();

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::string mSelf;
  std::function<std::vector<std::string>()> mPeers;
  Probe mProbe;
  EndpointEndExchange& mEnds;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics& mMetrics;
  CrashEvidence mEvidence;
  /// Those whose endpoint is being probed, by its address.
  std::map<std::string, std::vector<UnprovedInterruption>> mUnproved;
  /// Those whose endpoint kept a connection open, by its address, for kReplacementTime.
  std::map<std::string, std::vector<UnprovedInterruption>> mSurvived;
  std::map<std::string, Block> mBlocks; ///< by fingerprint
  TimePoint mReportWindowAt{};          ///< start of the current second of reports
  int mReportsInWindow = 0;
};

} // namespace gentianloom

#endif
