#include "gentianloom/relay/CallerSide.h"

namespace gentianloom {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

} // namespace

void CallerSide::AddConnectionHeader(net::ResponseHead& aHead) const
{
  aHead.mHeaders.Remove("Connection");
  aHead.mHeaders.Add("Connection", mKeepsAlive ? "keep-alive" : "close");
}

void CallerSide::SendWhole(net::ResponseHead aHead, std::string_view aBody)
{
  AddConnectionHeader(aHead);
  mStatus = aHead.mStatus;
  const bool bodyless = aHead.mStatus == kNoContent || aHead.mStatus == kNotModified;
  const auto framing = bodyless ? net::Framing::None : net::Framing::Length;
  mChannel.Send(net::SerializeResponseHead(aHead, framing, aBody.size()).append(aBody));
  mState = AnswerState::Whole;
}

void CallerSide::BeginStream(net::ResponseHead aHead)
{
  AddConnectionHeader(aHead);
  mStatus = aHead.mStatus;
  mChannel.Send(net::SerializeResponseHead(aHead, net::Framing::Chunked, 0));
  mState = AnswerState::Streaming;
}

void CallerSide::SendPart(std::string_view aBytes)
{
  if (!aBytes.empty()) {
    mChannel.Send(net::SerializeChunk(aBytes));
  }
}

void CallerSide::EndStream()
{
  mChannel.Send(std::string(net::kLastChunk));
  mState = AnswerState::Whole;
}

void CallerSide::CutOff()
{
  mState = AnswerState::CutOff;
  mKeepsAlive = false;
  mChannel.CloseAfterSending();
}

} // namespace gentianloom
