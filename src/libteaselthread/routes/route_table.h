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

// What a route table is made of.
struct RouteTableParts {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  std::vector<Customer> customers;  // empty if requests carry no keys
  ConnectionBounds bounds;

  friend auto operator<=>(const RouteTableParts&,
                          const RouteTableParts&) = default;
};

// One version of the operators' configuration, indexed for look-ups.
class RouteTable {
 public:
  // Fails with kNotFound if a route names a service that is not listed.
  static Result<RouteTable> Create(RouteTableParts parts);

  uint64_t version() const { return parts_.version; }
  const ConnectionBounds& bounds() const { return parts_.bounds; }
  bool needs_keys() const { return !parts_.customers.empty(); }
  const RouteTableParts& parts() const { return parts_; }

  // The route of `host` with the longest prefix of `path`, or null. `host`
  // may carry a port; `path` has no query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  const Customer* FindCustomer(const std::string& key) const;

 private:
  explicit RouteTable(RouteTableParts parts) : parts_(std::move(parts)) {}

  RouteTableParts parts_;
  // Indices into `parts_`, so that copies stay valid.
  std::unordered_map<std::string, size_t> routes_;  // host and prefix
  std::unordered_map<std::string, size_t> services_;
  std::unordered_map<std::string, size_t> customers_;  // by key
};

// The service of `route` that takes the request `request_id`. The same for
// every call with the same arguments; shares follow the weights.
const std::string& PickService(const Route& route, std::string_view request_id);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTES_ROUTE_TABLE_H_
