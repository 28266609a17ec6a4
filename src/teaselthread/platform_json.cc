#include "teaselthread/platform_json.h"

#include <boost/json.hpp>

namespace teaselthread {
namespace {

namespace json = boost::json;

Error Malformed(const PlatformObject& object, const std::string& detail) {
  return {ErrorCode::kMalformed,
          "platform object '" + object.name + "': " + detail};
}

std::string Text(const json::value& value, const char* key) {
  return std::string(value.at(key).as_string());
}

}  // namespace

Result<Endpoint> ReadEndpoint(const PlatformObject& object) {
  try {
    const json::value value = json::parse(object.value);
    Endpoint endpoint;
    endpoint.name = object.name;
    endpoint.zone = Text(value, "zone");
    const Result<SocketAddress> address =
        SocketAddress::Parse(Text(value, "address"));
    if (!address)
      return Malformed(object, address.last_reason().detail);
    endpoint.address = *address;
    const std::string kind = Text(value, "kind");
    if (kind != "model-engine" && kind != "service")
      return Malformed(object, "kind is neither model-engine nor service");
    endpoint.kind =
        kind == "service" ? EndpointKind::kService : EndpointKind::kModelEngine;
    for (const json::value& item : value.at("serves").as_array())
      endpoint.serves.push_back(std::string(item.as_string()));
    if (endpoint.serves.empty())
      return Malformed(object, "serves is empty");
    endpoint.leaving = Text(value, "state") != "live";
    return endpoint;
  } catch (const std::exception& failure) {
    return Malformed(object, failure.what());
  }
}

std::string WriteLease(const Member& member) {
  json::object lease;
  lease["incarnation"] = member.incarnation.ToString();
  lease["zone"] = member.zone;
  lease["peer_address"] = member.peer_address;
  lease["caller_address"] = member.caller_address;
  lease["generation"] = member.generation;
  return json::serialize(lease);
}

Result<Member> ReadLease(const PlatformObject& object) {
  try {
    const json::value value = json::parse(object.value);
    Member member;
    member.name = object.name;
    const auto incarnation = Incarnation::Parse(Text(value, "incarnation"));
    if (!incarnation)
      return Malformed(object, "incarnation is not 16 hexadecimal digits");
    member.incarnation = *incarnation;
    member.zone = Text(value, "zone");
    member.peer_address = Text(value, "peer_address");
    member.caller_address = Text(value, "caller_address");
    member.generation = value.at("generation").to_number<uint64_t>();
    return member;
  } catch (const std::exception& failure) {
    return Malformed(object, failure.what());
  }
}

}  // namespace teaselthread
