#include "gentianloom/base/Jitter.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

double Jitter()
{
  return static_cast<double>(StableHash(MakeId("jitter")) % 1'000) / 1'000.0;
}

} // namespace gentianloom
