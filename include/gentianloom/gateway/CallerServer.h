#ifndef GENTIANLOOM_GATEWAY_CALLER_SERVER_H
#define GENTIANLOOM_GATEWAY_CALLER_SERVER_H

#include "gentianloom/base/LogLimiter.h"
#include "gentianloom/net/HttpParser.h"
#include "gentianloom/relay/RequestExchange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// When connections are accepted; see net::ListenOptions.
struct AcceptPolicy
{
  std::optional<int> mBacklog{};
  std::function<Micros()> mTimeUntilAccept{};
};

/**
 * @brief HTTP server for callers, and for instances that send callers' requests on: reads the
 * requests of each connection in turn and serves each with a RequestExchange.
 *
 * A request with ambiguous framing, for example both Content-Length and Transfer-Encoding, is
 * rejected and its connection closed, since two HTTP parsers could split it differently (request
 * smuggling).
 */
class CallerServer
{
public:
  /// Tells from the IP address of a connection's other end who sends requests there.
  using SourceOf = std::function<RequestSource(const std::string& aHost)>;

  explicit CallerServer(RelayContext& aRelay)
    : CallerServer(aRelay, [](const auto&) { return RequestSource::Caller; })
  {
  }

  CallerServer(RelayContext& aRelay, SourceOf aSourceOf)
    : mRelay(aRelay)
    , mSourceOf(std::move(aSourceOf))
  {
  }

  /// @brief Starts listening. @return ErrorCode::BadSettings if the address cannot be bound
  Result<void> Start(const net::Channel::Address& aAddress, const AcceptPolicy& aPolicy = {});

  /// @brief Whether a part of a response is queued that the system has not taken yet.
  bool HasUnsentBytes() const;

  /// @brief Makes all requests look at RelayContext::mServesUntil.
  void NotifyRequests();

private:
  static constexpr std::size_t kMinPruneSize = 16;

  /// Keeps a reference to a channel as long as it is in use.
  void AddChannel(const net::Channel::Ptr& aChannel);
  net::Task<void> Serve(net::Channel::Ptr aChannel);
  /// Reads one request. Returns false if the connection ended or the request was rejected.
  net::Task<bool> ReadRequest(net::Channel& aChannel,
                              net::Signal& aSignal,
                              net::RequestParser& aParser);
  void RejectRequest(net::Channel& aChannel, net::ParseFault aFault);
  void RejectLateRequest(net::Channel& aChannel);
  /// Refuses a request that has not run.
  void RefuseForMemory(net::Channel& aChannel, const net::RequestParser& aParser);
  /// Counts a rejected request; writes one log line a second for each status.
  void CountRejection(int aStatus, std::string_view aText);
  /// States what the current request holds. Refuses it if callers hold too much.
  bool HoldsTooMuch(net::Channel& aChannel, const net::RequestParser& aParser, std::size_t aCopies);
  static void SetHeld(net::Channel& aChannel, std::size_t aHeadBytes, std::size_t aBodyBytes);
  static void SetState(net::Channel& aChannel, net::CallerState aState);
  /// Limits of the active configuration, or the defaults if there is none yet.
  CallerLimits Limits() const;

  RelayContext& mRelay;
  SourceOf mSourceOf;
  std::vector<std::weak_ptr<net::Channel>> mChannels; ///< that were accepted
  std::map<int, LogLimiter> mRejectionLogs;           ///< by status
  std::size_t mPruneSize = kMinPruneSize; ///< of mChannels, at which those that ended are removed
};

} // namespace gentianloom

#endif
