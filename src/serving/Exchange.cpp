#include "gentianloom/serving/Exchange.h"

namespace gentianloom {

std::string_view ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Done:
      return "done";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

void Exchange::FinishAdmission(const std::optional<Error>& aError)
{
  {
    const std::lock_guard lock(mAdmissionMutex);
    mRejection = aError;
    mIsAdmissionFinished = true;
  }
  mAdmissionCondition.notify_all();
}

std::optional<Error> Exchange::WaitForAdmission()
{
  std::unique_lock lock(mAdmissionMutex);
  mAdmissionCondition.wait(lock, [this] { return mIsAdmissionFinished; });
  return mRejection;
}

} // namespace gentianloom
