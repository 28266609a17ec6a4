#ifndef TEASELTHREAD_ROUTES_ROUTE_TABLE_H_
#define TEASELTHREAD_ROUTES_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libteaselthread/error.h"
#include "libteaselthread/routes/route.h"

namespace teaselthread {

// The contents of a route table.
struct RouteTableParts {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  std::vector<Customer> customers;  // empty if requests need no API keys
  ConnectionBounds bounds;

  friend auto operator<=>(const RouteTableParts&,
                          const RouteTableParts&) = default;
};

// One version of the operators' configuration, indexed for lookups.
class RouteTable {
 public:
  // Fails with kNotFound if a route refers to a service that is not listed.
  static Result<RouteTable> Create(RouteTableParts parts);

  uint64_t version() const { return parts_.version; }
  const ConnectionBounds& bounds() const { return parts_.bounds; }
  bool needs_keys() const { return !parts_.customers.empty(); }
  const RouteTableParts& parts() const { return parts_; }

  // The route of `host` with the longest matching prefix of `path`, or null.
  // `host` may include a port; `path` must not include a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  const Customer* FindCustomer(const std::string& key) const;

 private:
  explicit RouteTable(RouteTableParts parts) : parts_(std::move(parts)) {}

  RouteTableParts parts_;
  // Indices into `parts_` instead of pointers, so that copies stay valid.
  std::unordered_map<std::string, size_t> routes_;  // by host and path prefix
  std::unordered_map<std::string, size_t> services_;
  std::unordered_map<std::string, size_t> customers_;  // by API key
};

// The service of `route` that handles the request `request_id`. The result
// depends only on the arguments; requests are split in proportion to the
// weights.
const std::string& PickService(const Route& route, std::string_view request_id);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTES_ROUTE_TABLE_H_
