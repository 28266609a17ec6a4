#ifndef REVIEW_HARNESS_3_ADDRESSES_H_
#define REVIEW_HARNESS_3_ADDRESSES_H_

#include <random>
#include <set>
#include <string>
#include <vector>

#include "asio.h"
#include "fleet.h"

namespace review {

// The addresses of gateways that the clients of a zone hold. They ask up to
// three directories, those of their zone first, each for a second at most, ask
// again when the answer has expired, and keep it if they get no other.
class ZoneAddresses {
 public:
  ZoneAddresses(asio::io_context* io, Fleet* fleet, std::string zone);

  void Start();
  // One at random that is not in `failed`, if there is one; 0 if none is known.
  uint16_t Pick(const std::set<uint16_t>& failed, std::mt19937* random) const;

 private:
  asio::awaitable<void> Run();
  // Returns whether the directory of the gateway answered with addresses.
  asio::awaitable<bool> Ask(uint16_t directory);

  asio::io_context* io_;
  Fleet* fleet_;
  std::string zone_;
  std::vector<uint16_t> ports_;
  milliseconds lifetime_{0};
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_ADDRESSES_H_
