#include "gentianloom/relay/ResponseWriter.h"

#include "gentianloom/net/HttpStatus.h"

namespace gentianloom {

namespace {

} // namespace

void ResponseWriter::AddConnectionHeader(net::ResponseHead& aHead) const
{
  aHead.mHeaders.Remove("Connection");
  aHead.mHeaders.Add("Connection", mKeepsAlive ? "keep-alive" : "close");
}

void ResponseWriter::SendComplete(net::ResponseHead aHead, std::string_view aBody)
{
  AddConnectionHeader(aHead);
  mStatus = aHead.mStatus;
  const bool hasNoBody = aHead.mStatus == net::kNoContent || aHead.mStatus == net::kNotModified;
  const auto framing = hasNoBody ? net::Framing::None : net::Framing::Length;
  mChannel.Send(net::SerializeResponseHead(aHead, framing, aBody.size()).append(aBody));
  mState = ResponseState::Complete;
}

void ResponseWriter::StartStream(net::ResponseHead aHead)
{
  AddConnectionHeader(aHead);
  mStatus = aHead.mStatus;
  mChannel.Send(net::SerializeResponseHead(aHead, net::Framing::Chunked, 0));
  mState = ResponseState::Streaming;
}

void ResponseWriter::SendChunk(std::string_view aBytes)
{
  if (!aBytes.empty()) {
    mChannel.Send(net::SerializeChunk(aBytes));
  }
}

void ResponseWriter::EndStream()
{
  mChannel.Send(std::string(net::kLastChunk));
  mState = ResponseState::Complete;
}

void ResponseWriter::Abort()
{
  mState = ResponseState::Aborted;
  mKeepsAlive = false;
  mChannel.CloseAfterSending();
}

} // namespace gentianloom
