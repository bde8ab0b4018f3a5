#ifndef GENTIANLOOM_SERVING_CHAT_RELAY_H
#define GENTIANLOOM_SERVING_CHAT_RELAY_H

#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/serving/EngineStream.h"
#include "gentianloom/serving/RelayDependencies.h"

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
            const RelayDependencies& aDependencies,
            Poco::Net::HTTPServerRequest& aRequest,
            Poco::Net::HTTPServerResponse& aResponse);

  /// @brief Runs the whole exchange and gives the caller its final answer.
  void Run();

private:
  /// Why an attempt failed.
  struct FailedAttempt
  {
    AttemptFailure mFailure{};
    AttemptEnd mAttemptOutcome = AttemptEnd::Broke;
    Error mError{};
  };

  void RunAttempts();
  std::optional<FailedAttempt> RunAttempt();
  std::optional<FailedAttempt> OpenStream(const HttpRequest& aRequest, std::int64_t aAfter);
  std::optional<FailedAttempt> RelayEvents();
  std::optional<FailedAttempt> HandleEvent(const StreamEvent& aEvent);
  std::optional<FailedAttempt> CheckTimeouts(TimePoint aLastReceived);
  bool Resume();
  void ResumeRequestedStream();
  FailedAttempt MakeFailure(AttemptEnd aAttemptOutcome, ErrorCode aCode, std::string aText);
  void ReportAttempt(AttemptEnd aAttemptOutcome);
  bool RelayEvent(const StreamEvent& aEvent);
  void CancelStream();
  void FinishDone();
  void HandleCallerDisconnect();
  void SendFailure(Error aError, Outcome aOutcome);
  void SendHeaders();
  void AppendText(const std::string& aData);
  bool ExceedsOutputBound() const;
  void ChargeUnreportedPrompt();

  ExchangePtr mExchange;
  RelayDependencies mDependencies;
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  std::unique_ptr<EngineStream> mStream;
  std::optional<StreamValidator> mValidator;
  std::string mAttemptId; ///< of the reader of the engine's stream
  TimePoint mDispatchedAt{};
  TimePoint mFirstTokenAt{};
  std::vector<std::string> mTriedEndpoints;
  std::ostream* mStreamOut = nullptr; ///< set once the head of a streamed answer is sent
  std::string mAnswerText;            ///< gathered answer if the caller wants it whole
  std::string mFinishReason = "stop";
  int mResumes = 0;
  bool mFinished = false;
};

} // namespace gentianloom

#endif
