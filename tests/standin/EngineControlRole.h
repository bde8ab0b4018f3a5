#ifndef GENTIANLOOM_TESTS_STANDIN_ENGINE_CONTROL_ROLE_H
#define GENTIANLOOM_TESTS_STANDIN_ENGINE_CONTROL_ROLE_H

#include "StandinServer.h"

#include <chrono>

namespace gentianloom::standin {

/**
 * @brief The part of an engine that accepts orders at `/control` and records them.
 *
 * Faults: `loadMs` is the duration of loading, `failLoadOn` makes each load fail.
 */
class EngineControlRole
{
public:
  EngineControlRole(bool aChecksFencing, Faults& aFaults)
    : mChecksFencing(aChecksFencing)
    , mFaults(aFaults)
  {
  }

  /// @brief Handles `/control` and `/control/journal`.
  void Handle(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);

private:
  Json Status();
  int AcceptOrder(const Json& aOrder);

  bool mChecksFencing;
  Faults& mFaults;
  std::mutex mMutex;
  Json mOrder = Json::object();
  Json mJournal = Json::array(); ///< accepted orders, with start and end of loading
  std::chrono::steady_clock::time_point mReadyAt{};
  bool mFails = false;
};

} // namespace gentianloom::standin

#endif
