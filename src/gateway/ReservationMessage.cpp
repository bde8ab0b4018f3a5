#include "gentianloom/gateway/ReservationMessage.h"

#include "gentianloom/gateway/DatagramNumber.h"

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
  const auto bytes = nlohmann::json::to_msgpack(json);
  return { bytes.begin(), bytes.end() };
}

Result<ReservationMessage> DecodeReservation(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_msgpack(aBytes.begin(), aBytes.end());
    ReservationMessage out;
    out.mKind = PeerMessageKindOf(aBytes);
    out.mId = json.at(1).get<std::uint64_t>();
    if (out.mKind == PeerMessageKind::ReservationQuery) {
      out.mBudget = json.at(2).get<std::string>();
      out.mTokens = ReadDatagramNumber(json, 3);
      out.mMaxWait = Millis(ReadDatagramNumber(json, 4, kMaxMillis));
      out.mLifetime = Millis(ReadDatagramNumber(json, 5, kMaxMillis));
    } else if (out.mKind == PeerMessageKind::ReservationAnswer) {
      const auto answer = ReadDatagramNumber(json, 2);
      if (answer > static_cast<int>(KeeperAnswer::Waiting)) {
        return MakeError(
          ErrorCode::MalformedRequest, Step::RequestReserve, "peer", "unknown answer");
      }
      out.mAnswer = static_cast<KeeperAnswer>(answer);
      out.mOutage = Millis(ReadDatagramNumber(json, 3));
    } else if (out.mKind == PeerMessageKind::ReservationSettlement) {
      out.mUsed = ReadDatagramNumber(json, 2);
    }
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedRequest, Step::RequestReserve, "peer", ex.what());
  }
}

} // namespace gentianloom
