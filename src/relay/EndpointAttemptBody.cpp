#include "gentianloom/net/HttpStatus.h"
#include "gentianloom/relay/EndpointAttempt.h"

#include <limits>

// The part of EndpointAttempt that bounds and forwards the body of a response.

namespace gentianloom {

namespace {

/// Size limit of the body of a response that is not streamed.
constexpr std::size_t kMaxResponseBytes = 8 * 1'024 * 1'024;
/// Size limit of what is held of all responses that are being received: of bodies that are not
/// streamed, and of events that are not complete.
constexpr std::size_t kMaxBufferedBytes = 16 * 1'024 * 1'024;
/// Size up to which a response does not fail because of what others take.
constexpr std::size_t kSmallResponseBytes = 512 * 1'024;
/// Size limit of one event of a stream.
constexpr std::size_t kMaxEventBytes = 256 * 1'024;
/// Size up to which a part of an event does not fail because of what others take.
constexpr std::size_t kSmallEventBytes = 16 * 1'024;
/// Events beyond one for each output token that the request allows, such as keep-alives.
constexpr std::int64_t kMaxExtraEvents = 4'096;

} // namespace

void EndpointAttempt::OnResponseBody()
{
  if (!IsStream() || !net::IsSuccess(mParser.Head().mStatus)) {
    CountBuffered(mUnforwardedBody.size());
    if (IsTooMuchBuffered(kMaxResponseBytes, kSmallResponseBytes)) {
      Finish(AttemptOutcome::Interrupted, false, "the response body is too large");
    }
    return;
  }
  ForwardEvents();
  CountBuffered(mSplitter.Incomplete().size());
  if (IsTooMuchBuffered(kMaxEventBytes, kSmallEventBytes)) {
    Finish(AttemptOutcome::Interrupted, false, "an event of the stream is too large");
  } else if (mReceivedEvents > MaxEvents()) {
    Finish(AttemptOutcome::Interrupted, false, "the stream has more events than were asked for");
  }
}

bool EndpointAttempt::IsTooMuchBuffered(std::size_t aMaxBytes, std::size_t aSmallBytes) const
{
  const auto* memory = mContext.mCallerMemory;
  const bool isFull = mContext.mBufferedBytes > kMaxBufferedBytes ||
                      (memory != nullptr && !memory->HasRoomForLarge());
  return mCountedBytes > aMaxBytes || (isFull && mCountedBytes > aSmallBytes);
}

void EndpointAttempt::CountBuffered(std::size_t aBytes)
{
  mContext.mBufferedBytes += aBytes - mCountedBytes;
  if (mContext.mCallerMemory != nullptr) {
    mContext.mCallerMemory->AddBuffered(static_cast<std::ptrdiff_t>(aBytes) -
                                        static_cast<std::ptrdiff_t>(mCountedBytes));
  }
  mCountedBytes = aBytes;
}

std::int64_t EndpointAttempt::MaxEvents() const
{
  const auto tokens = mRequest.mCallerRequest.mMaxOutputTokens;
  return tokens ? *tokens + kMaxExtraEvents : std::numeric_limits<std::int64_t>::max();
}

bool EndpointAttempt::BelongsToStream(const ServerSentEvent& aEvent) const
{
  // Without an id, nothing shows that an event follows those before: it may be the text of an
  // error.
  return !mIsContinuation || mHasEventId || aEvent.mId || aEvent.mIsComment;
}

void EndpointAttempt::StartStream()
{
  mProgress.mContentType = net::MediaType(mParser.Head().mHeaders);
  mWriter.StartStream(MakeForwardedResponseHead());
}

void EndpointAttempt::ForwardEvents()
{
  const auto events = mSplitter.Append(mUnforwardedBody);
  mUnforwardedBody.clear();
  if (!events.empty() && !mFirstEventAt) {
    mFirstEventAt = mContext.mClock.Now();
  }
  ReportSurvivedBegin();
  std::string chunk;
  for (const auto& event : events) {
    ++mReceivedEvents;
    if (!BelongsToStream(event)) {
      Finish(AttemptOutcome::Interrupted, false, "the resumed stream begins without an event id");
      break;
    }
    mHasEventId = mHasEventId || event.mId.has_value();
    const bool isAlreadyForwarded =
      event.mId && mProgress.mLastEventId && *event.mId <= *mProgress.mLastEventId;
    if (isAlreadyForwarded) {
      continue;
    }
    chunk += event.mBytes;
    mProgress.mLastEventId = event.mId ? event.mId : mProgress.mLastEventId;
    ++mProgress.mEventCount;
  }
  if (chunk.empty()) {
    return;
  }
  RecordOrigin();
  if (mWriter.State() == ResponseState::NotStarted) {
    mProgress.mFirstEventAt = mContext.mClock.Now();
    StartStream();
  }
  OnFirstEvent();
  mHasForwardedEvent = true;
  mWriter.SendChunk(chunk);
}

bool EndpointAttempt::IsStreamTruncated() const
{
  // An orderly close after the head alone is how a process that ends looks as well.
  const bool isEmptyUntilClose =
    mParser.BodyFraming() == net::Framing::UntilClose && !mHasForwardedEvent;
  return isEmptyUntilClose || mSplitter.EndsInsideEvent();
}

bool EndpointAttempt::ContinuesStream() const
{
  const auto type = net::MediaType(mParser.Head().mHeaders);
  return mParser.Head().mStatus == mWriter.Status() &&
         (type.empty() || net::EqualsIgnoreCase(type, mProgress.mContentType));
}

} // namespace gentianloom
