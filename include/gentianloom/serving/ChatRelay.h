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
 * @brief Sends one admitted chat request to an endpoint and relays the response to the caller.
 *
 * If an attempt fails before the caller received anything, the request is retried on another
 * endpoint, within the retry budget and the deadline. A stream that is interrupted later is resumed
 * on the same endpoint, if its engine still stores the stream. Runs on the connection's thread and
 * holds no lock. Sets the outcome and the token counts of the exchange.
 */
class ChatRelay
{
public:
  ChatRelay(const ExchangePtr& aExchange,
            const RelayDependencies& aDependencies,
            Poco::Net::HTTPServerRequest& aRequest,
            Poco::Net::HTTPServerResponse& aResponse);

  /// @brief Runs the request and sends the caller its final response.
  void Run();

private:
  /// A failed attempt.
  struct FailedAttempt
  {
    AttemptFailure mFailure{};
    AttemptOutcome mAttemptOutcome = AttemptOutcome::Interrupted;
    Error mError{}; ///< sent to the caller if no attempt follows
  };

  /// Runs attempts until one succeeds or no retry is left.
  void RunAttempts();

  /// Runs the request on the current endpoint; resumes its stream if it is interrupted.
  std::optional<FailedAttempt> RunAttempt();

  /// Sends a request to the current endpoint and waits for the response status.
  /// @param aAfter number of the last event that was received; 0 for a new stream
  std::optional<FailedAttempt> OpenStream(const HttpRequest& aRequest, std::int64_t aAfter);

  /// Relays events until the request is finished or the attempt fails.
  std::optional<FailedAttempt> RelayEvents();
  std::optional<FailedAttempt> HandleEvent(const StreamEvent& aEvent);

  /// Called regularly, also while events arrive. Fails the attempt if the deadline passed or if the
  /// endpoint has sent nothing for too long. Cancels the request if the caller disconnected.
  std::optional<FailedAttempt> CheckStillWanted(TimePoint aLastReceived);

  /// Opens the interrupted stream again on the same endpoint. @return whether this succeeded
  bool Resume();

  /// Resumes the stream that the caller named with kResumeHeader, usually because the router that
  /// relayed it failed.
  void ResumeRequestedStream();

  /// Makes a failed attempt whose request may have run.
  FailedAttempt MakeFailure(AttemptOutcome aAttemptOutcome, ErrorCode aCode, std::string aText);

  /// Reports the result of the attempt to the observer.
  void ReportAttempt(AttemptOutcome aAttemptOutcome);

  /// Sends an event to the caller, or appends its text to mResponseText if the caller did not ask
  /// for a stream. @return false if the caller's connection is broken
  bool RelayEvent(const StreamEvent& aEvent);

  /// Closes the connection to the engine and asks the engine to stop generating.
  void CancelStream();

  /// Sends the end of a successful response.
  void FinishSuccessfully();

  /// Cancels the request because the caller disconnected.
  void HandleCallerDisconnect();

  /// Sends the error as the final response, or as the last event of a started stream.
  void SendFailure(Error aError, Outcome aOutcome);
  void SendHeaders();

  /// Appends the text of an event to mResponseText.
  void AppendText(const std::string& aData);
  bool ExceedsOutputBound() const;

  /// Charges the upper bound of the prompt tokens if the engine did not report them.
  void ChargeUnreportedPrompt();

  ExchangePtr mExchange;
  RelayDependencies mDependencies;
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  std::unique_ptr<EngineStream> mStream;
  std::optional<StreamValidator> mValidator;
  std::string mAttemptId; ///< value of kAttemptHeader for the current mStream
  TimePoint mDispatchedAt{};
  TimePoint mFirstTokenAt{};
  std::vector<std::string> mTriedEndpoints;
  std::ostream* mStreamOut = nullptr; ///< body of the stream; null until its headers are sent
  std::string mResponseText;          ///< text so far, if the caller did not ask for a stream
  std::string mFinishReason = "stop";
  int mResumeCount = 0;
  bool mIsFinished = false;
};

} // namespace gentianloom

#endif
