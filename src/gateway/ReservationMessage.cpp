#include "gentianloom/gateway/ReservationMessage.h"

#include "gentianloom/gateway/Datagram.h"

#include <nlohmann/json.hpp>

namespace gentianloom {

namespace {

/// Longest time that a message may state, about 50 days: timers count nanoseconds in 64 bits.
constexpr std::int64_t kMaxMillis = std::int64_t{ 1 } << 32;

} // namespace

std::string EncodeReservation(const ReservationMessage& aMessage)
{
  auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind), aMessage.mId });
  switch (aMessage.mKind) {
    case PeerMessageKind::ReservationQuery:
      json.push_back(aMessage.mBudget);
      json.push_back(aMessage.mTokens);
      json.push_back(aMessage.mMaxWait.count());
      json.push_back(aMessage.mLifetime.count());
      break;
    case PeerMessageKind::ReservationAnswer:
      json.push_back(static_cast<int>(aMessage.mAnswer));
      json.push_back(aMessage.mOutage.count());
      break;
    case PeerMessageKind::ReservationSettlement:
      json.push_back(aMessage.mUsed);
      break;
    default:
      break;
  }
  return EncodeDatagram(json);
}

Result<ReservationMessage> DecodeReservation(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    ReservationMessage out;
    out.mKind = PeerMessageKindOf(aBytes);
    out.mId = ReadDatagramId(aArray, 1);
    if (out.mKind == PeerMessageKind::ReservationQuery) {
      out.mBudget = aArray.at(2).get<std::string>();
      out.mTokens = ReadDatagramNumber(aArray, 3);
      out.mMaxWait = Millis(ReadDatagramNumber(aArray, 4, kMaxMillis));
      out.mLifetime = Millis(ReadDatagramNumber(aArray, 5, kMaxMillis));
    } else if (out.mKind == PeerMessageKind::ReservationAnswer) {
      constexpr auto kLastAnswer = static_cast<std::int64_t>(KeeperAnswer::Waiting);
      out.mAnswer = static_cast<KeeperAnswer>(ReadDatagramNumber(aArray, 2, kLastAnswer));
      out.mOutage = Millis(ReadDatagramNumber(aArray, 3));
    } else if (out.mKind == PeerMessageKind::ReservationSettlement) {
      out.mUsed = ReadDatagramNumber(aArray, 2);
    }
    return out;
  });
}

} // namespace gentianloom
