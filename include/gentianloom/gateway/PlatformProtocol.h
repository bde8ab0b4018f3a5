#ifndef GENTIANLOOM_GATEWAY_PLATFORM_PROTOCOL_H
#define GENTIANLOOM_GATEWAY_PLATFORM_PROTOCOL_H

#include "gentianloom/relay/RequestCodec.h"
#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/RouteTable.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/// A caller's query for instance addresses. What the query does not name is empty.
struct AddressQuery
{
  std::string mHost; ///< that the caller will send requests to; lower case, without a port
  std::string mRegion;
  std::string mZone;
};

/**
 * @brief Translates between the gateway and the formats of the platform that it runs on.
 *
 * Covers the platform's records in the key-value service, the headers of requests and responses,
 * and the queries for instance addresses.
 */
class PlatformProtocol
{
public:
  virtual ~PlatformProtocol() = default;

  /// @brief Codec of the headers of requests and responses.
  virtual const RequestCodec& Codec() const = 0;

  /// @brief Prefix of all keys that operators write.
  virtual std::string OperatorPrefix() const = 0;

  /// @brief Key of the routing configuration, below OperatorPrefix().
  virtual std::string ConfigurationKey() const = 0;

  /**
   * @brief Extracts the availability zone from an operator's key that evacuates it.
   * @param aKey key below OperatorPrefix()
   * @return the zone; nothing if the key is of another kind; ErrorCode::MalformedRequest if the
   * zone's name is empty or too long
   */
  virtual Result<std::optional<std::string>> DecodeEvacuatedZone(std::string_view aKey) const = 0;

  /// @brief Prefix of the keys under which endpoints register; the rest of a key is the endpoint's
  /// ID.
  virtual std::string EndpointPrefix() const = 0;

  /// @brief Decodes a routing configuration. @return ErrorCode::MalformedJson if it is invalid
  virtual Result<RoutingConfiguration> DecodeConfiguration(std::string_view aText) const = 0;

  /**
   * @brief Decodes an endpoint's registration.
   * @param aId ID of the endpoint
   * @param aText stored value
   * @return ErrorCode::MalformedJson if a field is missing or invalid
   */
  virtual Result<EndpointEntry> DecodeEndpoint(std::string_view aId,
                                               std::string_view aText) const = 0;

  /**
   * @brief Decodes a caller's query for instance addresses.
   * @param aTarget request target with its query string
   */
  virtual AddressQuery DecodeAddressQuery(std::string_view aTarget) const = 0;

  /**
   * @brief Encodes the response body to a query for instance addresses.
   * @param aAddresses addresses of instances, IP:PORT
   * @param aTtl how long the caller may cache the response
   */
  virtual std::string EncodeAddresses(std::span<const std::string> aAddresses,
                                      Millis aTtl) const = 0;
};

} // namespace gentianloom

#endif
