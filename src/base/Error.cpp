#include "gentianloom/base/Error.h"

namespace gentianloom {

std::string_view ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::MalformedRequest:
      return "malformed_request";
    case ErrorCode::MalformedJson:
      return "malformed_json";
    case ErrorCode::UnknownKey:
      return "unknown_key";
    case ErrorCode::WrongType:
      return "wrong_type";
    case ErrorCode::OutOfRange:
      return "out_of_range";
    case ErrorCode::MissingKey:
      return "missing_key";
    case ErrorCode::BodyTooLarge:
      return "body_too_large";
    case ErrorCode::DuplicateName:
      return "duplicate_name";
    case ErrorCode::UnknownReference:
      return "unknown_reference";
    case ErrorCode::NotAuthenticated:
      return "not_authenticated";
    case ErrorCode::NotAllowed:
      return "not_allowed";
    case ErrorCode::UnknownModel:
      return "unknown_model";
    case ErrorCode::UnknownService:
      return "unknown_service";
    case ErrorCode::UnknownOrganisation:
      return "unknown_organisation";
    case ErrorCode::UnknownPath:
      return "unknown_path";
    case ErrorCode::BudgetExhausted:
      return "budget_exhausted";
    case ErrorCode::BudgetBusy:
      return "budget_busy";
    case ErrorCode::Overloaded:
      return "overloaded";
    case ErrorCode::DeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::NoEndpoint:
      return "no_endpoint";
    case ErrorCode::Leaving:
      return "leaving";
    case ErrorCode::EndpointFailed:
      return "endpoint_failed";
    case ErrorCode::AnswerIncomplete:
      return "answer_incomplete";
    case ErrorCode::IdempotencyKeyMissing:
      return "idempotency_key_missing";
    case ErrorCode::IdempotencyKeyConflict:
      return "idempotency_key_conflict";
    case ErrorCode::OutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::RequestCrashesEndpoints:
      return "request_crashes_endpoints";
    case ErrorCode::AlreadyRunning:
      return "already_running";
    case ErrorCode::AnswerNotKept:
      return "answer_not_kept";
    case ErrorCode::PlatformUnavailable:
      return "platform_unavailable";
    case ErrorCode::PlatformAnswerLost:
      return "platform_answer_lost";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::StaleAnswer:
      return "stale_answer";
    case ErrorCode::PeerUnavailable:
      return "peer_unavailable";
    case ErrorCode::Internal:
      return "internal";
    case ErrorCode::BadSettings:
      return "bad_settings";
  }
  return "internal";
}

std::string ToString(const Error& aError)
{
  std::string buf = "[GL" + std::to_string(static_cast<unsigned>(aError.mCode)) + " ";
  buf += ToString(aError.mCode);
  buf += "] step=";
  buf += ToString(aError.mStep);
  buf += " peer=" + (aError.mPeer.empty() ? std::string("self") : aError.mPeer);
  buf += ": " + aError.mText;
  return buf;
}

} // namespace gentianloom
