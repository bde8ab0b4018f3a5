#ifndef GENTIANLOOM_GATEWAY_RESERVATION_MESSAGE_H
#define GENTIANLOOM_GATEWAY_RESERVATION_MESSAGE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/relay/TokenReservations.h"

#include <string>
#include <string_view>

namespace gentianloom {

/// What a keeper answers to a query.
enum class KeeperAnswer : std::uint8_t
{
  Reserved = 0,
  Exhausted = 1,   ///< see ReservationOutcome
  Unavailable = 2, ///< see ReservationOutcome
  Waiting = 3      ///< the answer follows
};

/**
 * @brief Message between an instance that serves a request and the keeper of its budget.
 *
 * The fields in use depend on the kind: a query has all but mAnswer and mUsed, an answer has
 * mAnswer and mOutage, a settlement has mUsed, its confirmation only mId.
 */
struct ReservationMessage
{
  PeerMessageKind mKind = PeerMessageKind::ReservationQuery;
  std::uint64_t mId = 0; ///< chosen by the instance that serves the request, unique there
  std::string mBudget{};
  Tokens mTokens = 0;
  Millis mMaxWait{ 0 };
  Millis mLifetime{ 0 }; ///< of the request, see TokenRequest
  KeeperAnswer mAnswer = KeeperAnswer::Waiting;
  Millis mOutage{ 0 }; ///< see TokenReservation
  Tokens mUsed = 0;
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeReservation(const ReservationMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<ReservationMessage> DecodeReservation(std::string_view aBytes);

} // namespace gentianloom

#endif
