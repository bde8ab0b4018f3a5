#include "gentianloom/gateway/Datagram.h"

namespace gentianloom {

std::string EncodeDatagram(const nlohmann::json& aArray)
{
  const auto bytes = nlohmann::json::to_msgpack(aArray);
  return { bytes.begin(), bytes.end() };
}

std::int64_t ReadDatagramNumber(const nlohmann::json& aArray, std::size_t aIndex, std::int64_t aMax)
{
  const auto& it = aArray.at(aIndex);
  // MessagePack also has floating-point numbers; get() would convert them without a check.
  const auto n = it.is_number_integer() ? it.get<std::int64_t>() : -1;
  if (n < 0 || n > aMax) {
    throw nlohmann::json::out_of_range::create(401, "a number is out of range", &aArray);
  }
  return n;
}

std::uint64_t ReadDatagramId(const nlohmann::json& aArray, std::size_t aIndex)
{
  const auto& it = aArray.at(aIndex);
  if (!it.is_number_unsigned()) {
    throw nlohmann::json::out_of_range::create(401, "an id is no unsigned number", &aArray);
  }
  return it.get<std::uint64_t>();
}

} // namespace gentianloom
