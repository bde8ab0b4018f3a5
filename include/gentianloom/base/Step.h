#ifndef GENTIANLOOM_BASE_STEP_H
#define GENTIANLOOM_BASE_STEP_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gentianloom {

/**
 * @brief The steps of all procedures of the system.
 *
 * Each error contains the step at which it occurred. The fault matrix has one column for each step,
 * so a new step without cells fails a test. The first word of an enumerator is its procedure
 * (request, grant, transfer, bill, intent, application, order, drain).
 */
enum class Step : std::uint8_t
{
  RequestAccept,
  RequestAuthenticate,
  RequestReserve,
  RequestPlace,
  RequestDispatch,
  RequestRelay,
  RequestSettle,
  GrantRead,
  GrantCommit,
  GrantReport,
  GrantReturn,
  TransferAsk,
  TransferGive,
  TransferCredit,
  BillStage,
  BillCommit,
  BillRecover,
  IntentCreate,
  IntentDispatch,
  IntentResolve,
  ApplicationCheck,
  ApplicationStore,
  ApplicationCommit,
  ApplicationSpread,
  OrderLease,
  OrderSend,
  OrderVerify,
  DrainAnnounce,
  DrainServe,
  DrainFlush,
  Settings,
  Count ///< number of steps
};

/// Number of steps. The fault matrix has a column for each of them except Step::Settings.
inline constexpr std::size_t kStepCount = static_cast<std::size_t>(Step::Count);

/// Stable names of the steps, as used in error bodies, logs and the fault matrix.
inline constexpr std::array<std::string_view, kStepCount> kStepNames = {
  "request.accept",    "request.authenticate", "request.reserve",    "request.place",
  "request.dispatch",  "request.relay",        "request.settle",     "grant.read",
  "grant.commit",      "grant.report",         "grant.return",       "transfer.ask",
  "transfer.give",     "transfer.credit",      "bill.stage",         "bill.commit",
  "bill.recover",      "intent.create",        "intent.dispatch",    "intent.resolve",
  "application.check", "application.store",    "application.commit", "application.spread",
  "order.lease",       "order.send",           "order.verify",       "drain.announce",
  "drain.serve",       "drain.flush",          "settings",
};

/**
 * @brief Returns the stable name of a step.
 * @param aStep the step
 * @return its name, for example `grant.commit`; `unknown` for a value out of range
 * @par Complexity constant
 */
constexpr std::string_view ToString(Step aStep)
{
  const auto n = static_cast<std::size_t>(aStep);
  return n < kStepCount ? kStepNames[n] : std::string_view("unknown");
}

} // namespace gentianloom

#endif
