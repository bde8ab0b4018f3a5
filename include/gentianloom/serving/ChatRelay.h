#ifndef GENTIANLOOM_SERVING_CHAT_RELAY_H
#define GENTIANLOOM_SERVING_CHAT_RELAY_H

#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/serving/EngineStream.h"
#include "gentianloom/serving/RelayParts.h"

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/**
 * @brief Sends one admitted chat request to an endpoint and relays the answer.
 *
 * An attempt that failed before the caller got anything is made again on another endpoint, within
 * the retry budget and the deadline. A stream that breaks later is resumed where the engine keeps
 * it. Runs on the connection's thread, holds no lock. Sets the outcome and the tokens used in the
 * exchange.
 */
class ChatRelay
{
public:
  ChatRelay(const ExchangePtr& aExchange,
            const RelayParts& aParts,
            Poco::Net::HTTPServerRequest& aRequest,
            Poco::Net::HTTPServerResponse& aResponse);

  /// @brief Runs the whole exchange and gives the caller its final answer.
  void Run();

private:
  /// Why an attempt failed.
  struct Failure
  {
    AttemptFailure mFacts{};
    AttemptOutcome mEnd = AttemptOutcome::Interrupted;
    Error mError{};
  };

  void RunAttempts();
  std::optional<Failure> Attempt();
  std::optional<Failure> Open(const HttpRequest& aRequest, std::int64_t aAfter);
  std::optional<Failure> RelayEvents();
  std::optional<Failure> HandleEvent(const StreamEvent& aEvent);
  std::optional<Failure> CheckWaiting(TimePoint aLastNews);
  bool Resume();
  void ResumeForCaller();
  Failure Fail(AttemptOutcome aEnd, ErrorCode aCode, std::string aText);
  void Report(AttemptOutcome aEnd);
  bool Relay(const StreamEvent& aEvent);
  void CancelStream();
  void FinishDone();
  void LeaveCaller();
  void GiveUp(Error aError, Outcome aOutcome);
  void SendHead();
  void AppendText(const std::string& aData);
  bool OverBound() const;
  void ChargeBroken();

  ExchangePtr mExchange;
  RelayParts mParts;
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  std::unique_ptr<EngineStream> mStream;
  std::optional<StreamValidator> mGuard;
  std::string mAttemptId; ///< of the reader of the engine's stream
  TimePoint mDispatched{};
  TimePoint mFirstToken{};
  std::vector<std::string> mTried;
  std::ostream* mOut = nullptr; ///< set once the head of a streamed answer is sent
  std::string mText;            ///< gathered answer if the caller wants it whole
  std::string mFinishReason = "stop";
  int mResumes = 0;
  bool mFinished = false;
};

} // namespace gentianloom

#endif
