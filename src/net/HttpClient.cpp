#include "gentianloom/net/HttpClient.h"

#include "gentianloom/base/Address.h"
#include "gentianloom/net/HttpParser.h"
#include "gentianloom/net/ResponseEnd.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace gentianloom::net {

namespace {

using CallResult = boost::outcome_v2::checked<HttpReply, HttpFailure>;

/// Limit for connecting. It is short so that a caller that retries starts a new connection early:
/// the network path may have been restored meanwhile.
constexpr Millis kConnectTimeout{ 500 };
/// Size limit of the body of a response, and of those of all responses that are being received.
constexpr std::size_t kMaxReplyBytes = 16 * 1'024 * 1'024;
/// Size up to which a response does not fail because of what others take: a page of items, or a
/// value of the largest size.
constexpr std::size_t kSmallReplyBytes = 3 * 1'024 * 1'024;

/// Time until a deadline; negative once it has passed.
Micros RemainingTime(TimePoint aDeadline)
{
  return aDeadline - SystemClock().Now();
}

} // namespace

/// Counts the body of a response that is being received.
class HttpClient::ReplyBuffer
{
public:
  explicit ReplyBuffer(std::size_t& aTotal)
    : mTotal(aTotal)
  {
  }
  ~ReplyBuffer() { mTotal -= mBytes; }
  ReplyBuffer(const ReplyBuffer&) = delete;
  ReplyBuffer& operator=(const ReplyBuffer&) = delete;

  /// @brief States how large the body is by now. @return whether it may grow further
  bool SetBytes(std::size_t aBytes)
  {
    mTotal += aBytes - mBytes;
    mBytes = aBytes;
    const bool isTooMuchTogether = mTotal > kMaxReplyBytes && mBytes > kSmallReplyBytes;
    return mBytes <= kMaxReplyBytes && !isTooMuchTogether;
  }

private:
  std::size_t& mTotal;
  std::size_t mBytes = 0;
};

HttpClient::HttpClient(Loop& aLoop, Channel::Address aServer, std::string aHostHeader)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mHostHeader(std::move(aHostHeader))
{
}

HttpClient::~HttpClient()
{
  CloseIdle();
}

void HttpClient::CloseIdle()
{
  for (const auto& it : mIdle) {
    it.mChannel->Close();
  }
  mIdle.clear();
}

Channel::Ptr HttpClient::TakeIdle()
{
  while (!mIdle.empty()) {
    const auto it = std::move(mIdle.back());
    mIdle.pop_back();
    const bool isRecent = SystemClock().Now() - it.mIdleSince <= kMaxIdle;
    if (isRecent && it.mChannel->IsUsable() && it.mChannel->Received().empty()) {
      return it.mChannel;
    }
    it.mChannel->Close();
  }
  return nullptr;
}

Task<CallResult> HttpClient::Call(HttpCall aCall, Millis aTimeout)
{
  const auto deadline = SystemClock().Now() + aTimeout;
  const auto signal = std::make_shared<Signal>(mLoop);
  auto channel = TakeIdle();
  if (!channel) {
    channel = Channel::Connect(mLoop, mServer);
  }
  channel->SetListener(signal);
  const auto connectDeadline = std::min(deadline, SystemClock().Now() + kConnectTimeout);
  while (channel->State() == ChannelState::Connecting &&
         RemainingTime(connectDeadline) > Micros(0)) {
    co_await signal->WaitFor(RemainingTime(connectDeadline));
  }
  if (!channel->IsUsable()) {
    channel->Close();
    co_return HttpFailure::NotSent;
  }
  RequestHead head{ aCall.mMethod, aCall.mTarget, {}, true };
  head.mHeaders.Add("Host", mHostHeader);
  std::optional<std::size_t> size;
  if (aCall.mMethod == "POST") {
    head.mHeaders.Add("Content-Type", "application/json");
    size = aCall.mBody.size();
  }
  channel->Send(SerializeRequestHead(head, size) + aCall.mBody);
  mBytes.mSent += aCall.mBody.size();
  ResponseParser parser;
  HttpReply reply;
  ReplyBuffer buffer(mBufferedBytes);
  while (parser.State() != ParseState::Done && parser.State() != ParseState::Failed) {
    const auto used = parser.Put(channel->Received(), reply.mBody);
    channel->Consume(used);
    if (!buffer.SetBytes(reply.mBody.size())) {
      break;
    }
    if (used > 0) {
      continue;
    }
    const auto untilEnd = TimeUntilResponseEnd(*channel, parser);
    if (untilEnd == Micros(0)) {
      parser.PutEof();
      continue;
    }
    if (channel->State() == ChannelState::Closed || RemainingTime(deadline) <= Micros(0)) {
      break;
    }
    co_await signal->WaitFor(std::min(untilEnd, RemainingTime(deadline)));
  }
  channel->SetListener(nullptr);
  mBytes.mReceived += reply.mBody.size();
  if (parser.State() != ParseState::Done) {
    channel->Close();
    CloseIdle(); // the other connections to this server may be unresponsive as well
    co_return HttpFailure::Lost;
  }
  reply.mStatus = parser.Head().mStatus;
  reply.mHeaders = parser.Head().mHeaders;
  if (parser.Head().mKeepAlive && channel->IsUsable() && channel->Received().empty()) {
    mIdle.push_back({ channel, SystemClock().Now() });
  } else {
    channel->Close();
  }
  co_return reply;
}

Result<Channel::Address> ParseSocketAddress(std::string_view aText)
{
  BOOST_OUTCOME_TRY(parts, ParseAddress(aText));
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(parts.first, ec);
  if (ec || parts.second == 0) {
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     aText,
                     "address \"" + std::string(aText) + "\" must be written as IP:PORT");
  }
  return Channel::Address(ip, parts.second);
}

} // namespace gentianloom::net
