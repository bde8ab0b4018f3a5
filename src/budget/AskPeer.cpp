#include "gentianloom/budget/BudgetManager.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/peer/PeerCall.h"

namespace gentianloom {

namespace {

/// Time limit of one request for tokens.
constexpr Millis kAskTimeout{ 200 };

} // namespace

Result<Transfer> AskPeerByThrift(const PeerSettings& aPeer,
                                 const Transfer& aWanted,
                                 const std::string& aTaker)
{
  // "Rights" in the peer protocol are tokens of a budget.
  wire::RightsRequest request;
  request.transferId = aWanted.mId;
  request.budget = aWanted.mBudget;
  request.takerIncarnation = aTaker;
  request.tokens = aWanted.mTokens;
  request.least = 1;
  wire::RightsAnswer answer;
  BOOST_OUTCOME_TRY(
    CallPeer(aPeer.mAddress, kAskTimeout, Step::TransferAsk, [&](wire::PeerClient& it) {
      it.AskRights(answer, request);
    }));
  return Transfer{ aWanted.mId, aWanted.mBudget, answer.giverIncarnation, answer.tokens };
}

} // namespace gentianloom
