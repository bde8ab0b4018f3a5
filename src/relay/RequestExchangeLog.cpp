#include "gentianloom/base/Log.h"
#include "gentianloom/relay/RequestExchange.h"

#include <algorithm>
#include <span>

namespace gentianloom {

namespace {

/// Most keys of a prompt's parts that are written into a log line.
constexpr std::size_t kMaxLoggedKeys = 16;

std::string ToText(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

std::string ToMillisText(Micros aTime)
{
  return ToText(std::chrono::duration_cast<Millis>(aTime).count());
}

std::string JoinKeys(std::span<const std::string> aKeys)
{
  std::string out;
  for (const auto& it : aKeys.first(std::min(aKeys.size(), kMaxLoggedKeys))) {
    out += out.empty() ? "" : ",";
    out += it;
  }
  return out;
}

std::string_view ToString(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Done:
      return "done";
    case AttemptOutcome::Refused:
      return "refused";
    case AttemptOutcome::NotReached:
      return "not-reached";
    case AttemptOutcome::Interrupted:
      return "broke";
    case AttemptOutcome::TimedOut:
      return "timed-out";
    case AttemptOutcome::CallerDisconnected:
      return "caller-left";
    case AttemptOutcome::InstanceEnded:
      return "instance-ended";
  }
  return "unknown";
}

} // namespace

void RequestExchange::LogFailedAttempt(bool aWillRetry) const
{
  const auto& end = mLastAttempt.mResponseEnd;
  LogChange(
    LogLevel::Info,
    "relay",
    "attempt failed",
    { { "request", mRequest.mId },
      { "fingerprint", Fingerprint() },
      { "organisation", mAccount == nullptr ? "" : mAccount->mName },
      { "endpoint", mPlacement.mEndpoint->mEntry.mId },
      { "address", mPlacement.mEndpoint->mEntry.mAddress },
      { "software_version", mPlacement.mEndpoint->mEntry.mSoftwareVersion },
      { "end", std::string(ToString(mLastAttempt.mOutcome)) },
      { "error", mLastAttempt.mReason },
      { "framing", std::string(net::ToString(end.mFraming)) },
      { "connection", std::string(net::ToString(end.mConnection)) },
      { "after_sending_ms", end.mAfterSending ? ToMillisText(*end.mAfterSending) : "" },
      { "head_received", end.mIsHeadReceived ? "yes" : "no" },
      { "since_first_event_ms", end.mSinceFirstEvent ? ToMillisText(*end.mSinceFirstEvent) : "" },
      { "parts", JoinKeys(PartKeys()) },
      { "in_flight", ToText(static_cast<std::int64_t>(end.mInFlight)) },
      { "partial_event_bytes", ToText(static_cast<std::int64_t>(end.mPartialEventBytes)) },
      { "proved_not_run", mLastAttempt.mRequestDidNotRun ? "yes" : "no" },
      { "retried", aWillRetry ? "yes" : "no" } });
}

void RequestExchange::Log() const
{
  const auto now = mContext.mClock.Now();
  const auto status = ToText(mWriter.Status());
  const auto route = mRoute == nullptr ? std::string("none") : mRoute->mName;
  mContext.mMetrics.CounterOf("gentianloom_requests_total", "status=\"" + status + "\"").Add();
  const auto totalSeconds = std::chrono::duration<double>(now - mStartedAt).count();
  mContext.mMetrics.HistogramOf("gentianloom_request_seconds").Observe(totalSeconds);
  const bool hasEvents = mProgress.mEventCount > 0;
  if (hasEvents) {
    mContext.mMetrics.HistogramOf("gentianloom_first_event_seconds")
      .Observe(std::chrono::duration<double>(mProgress.mFirstEventAt - mStartedAt).count());
  }
  const auto& endpoint = mPlacement.mEndpoint;
  const auto& end = mLastAttempt.mResponseEnd;
  LogChange(
    LogLevel::Info,
    "relay",
    "request ended",
    { { "request", mRequest.mId },
      { "status", status },
      { "error", mFailureReason },
      { "route", route },
      { "service", mService },
      { "organisation", mAccount == nullptr ? "" : mAccount->mName },
      { "fingerprint", Fingerprint() },
      { "configuration", mRoutes ? ToText(mRoutes->Version()) : "none" },
      { "endpoint", endpoint ? endpoint->mEntry.mId : "" },
      { "software_version", endpoint ? endpoint->mEntry.mSoftwareVersion : "" },
      { "resumes", mRequest.mResumedRequest },
      { "resume_after", mRequest.mResumeAfter ? ToText(*mRequest.mResumeAfter) : "" },
      { "entry_age_ms", endpoint ? ToMillisText(now - endpoint->mLastSeenAt) : "" },
      { "prompt_tokens", ToText(mRequest.mPromptTokens.value_or(0)) },
      { "cached_tokens", ToText(mPlacement.mCachedTokens) },
      { "pending_tokens", ToText(mPlacement.mPendingTokens) },
      { "running", ToText(static_cast<std::int64_t>(mPlacement.mRunning)) },
      { "predicted_ms", ToText(static_cast<std::int64_t>(mPlacement.mPredictedMs)) },
      { "cost", ToText(static_cast<std::int64_t>(mPlacement.mCost)) },
      { "attempts", ToText(static_cast<std::int64_t>(mTriedEndpoints.size())) },
      { "source", mSource == RequestSource::Caller ? "" : "instance" },
      { "forwarded_to", mTriedPeers.empty() ? "" : mTriedPeers.back() },
      { "end",
        mTriedEndpoints.empty() && mTriedPeers.empty()
          ? ""
          : std::string(ToString(mLastAttempt.mOutcome)) },
      { "framing", std::string(net::ToString(end.mFraming)) },
      { "connection", std::string(net::ToString(end.mConnection)) },
      { "partial_event_bytes", ToText(static_cast<std::int64_t>(end.mPartialEventBytes)) },
      { "events", ToText(mProgress.mEventCount) },
      { "reserve_ms", ToMillisText(mReserveDuration) },
      { "keeper", mReservation.mKeeper },
      { "first_event_ms", hasEvents ? ToMillisText(mProgress.mFirstEventAt - mStartedAt) : "" },
      { "total_ms", ToMillisText(now - mStartedAt) } });
}

} // namespace gentianloom
