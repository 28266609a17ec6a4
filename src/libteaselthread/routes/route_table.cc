#include "libteaselthread/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

std::string Lowercase(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string_view WithoutPort(std::string_view host) {
  const size_t colon = host.rfind(':');
  const bool is_bare_v6 = !host.empty() && host.back() == ']';
  return colon == std::string_view::npos || is_bare_v6 ? host
                                                       : host.substr(0, colon);
}

std::string RouteKey(std::string_view host, std::string_view prefix) {
  return Lowercase(WithoutPort(host)) + " " + std::string(prefix);
}

}  // namespace

Result<RouteTable> RouteTable::Create(RouteTableParts parts) {
  RouteTable table(std::move(parts));
  for (size_t i = 0; i < table.parts_.services.size(); ++i)
    table.services_.emplace(table.parts_.services[i].name, i);
  for (size_t i = 0; i < table.parts_.routes.size(); ++i) {
    const Route& route = table.parts_.routes[i];
    for (const WeightedService& target : route.services) {
      if (table.services_.contains(target.service))
        continue;
      return Error{ErrorCode::kNotFound, "route '" + route.name +
                                             "' names the unknown service '" +
                                             target.service + "'"};
    }
    table.routes_.emplace(RouteKey(route.host, route.path_prefix), i);
  }
  for (size_t i = 0; i < table.parts_.customers.size(); ++i) {
    for (const std::string& key : table.parts_.customers[i].keys)
      table.customers_.emplace(key, i);
  }
  return table;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  std::string key = RouteKey(host, path);
  const size_t path_start = key.size() - path.size();
  for (;;) {
    const size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < path_start)
      return nullptr;
    key.resize(slash + 1);
    const auto found = routes_.find(key);
    if (found != routes_.end())
      return &parts_.routes[found->second];
    key.pop_back();
  }
}

const ServiceSpec* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &parts_.services[found->second];
}

const Customer* RouteTable::FindCustomer(const std::string& key) const {
  const auto found = customers_.find(key);
  return found == customers_.end() ? nullptr : &parts_.customers[found->second];
}

const std::string& PickService(const Route& route,
                               std::string_view request_id) {
  const uint64_t total =
      std::accumulate(route.services.begin(), route.services.end(), uint64_t{0},
                      [](uint64_t sum, const WeightedService& target) {
                        return sum + target.weight;
                      });
  if (total == 0)
    return route.services.front().service;
  uint64_t point = RendezvousKey(request_id).WeightOf(route.name) % total;
  for (const WeightedService& target : route.services) {
    if (point < target.weight)
      return target.service;
    point -= target.weight;
  }
  return route.services.back().service;
}

}  // namespace teaselthread
