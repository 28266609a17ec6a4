#include <cstdlib>
#include <iostream>
#include <string_view>

#include "standin_main.h"

// Usage: teaselthread-standin platform|engine|service PORT [TOKEN_MS [EVENTS]]
int main(int argc, char** argv) {
  namespace standins = teaselthread::standins;
  if (argc < 3) {
    std::cerr << "usage: teaselthread-standin platform|engine|service PORT "
                 "[TOKEN_MS [EVENTS]]\n";
    return 1;
  }
  const std::string_view role = argv[1];
  const auto port = static_cast<uint16_t>(std::atoi(argv[2]));
  const auto token_ms =
      static_cast<uint32_t>(argc > 3 ? std::atoi(argv[3]) : 5);
  const auto event_count =
      static_cast<uint32_t>(argc > 4 ? std::atoi(argv[4]) : 12);
  if (role == "platform")
    return standins::RunPlatform(port);
  if (role == "engine")
    return standins::RunEngine(port, token_ms, event_count);
  if (role == "service")
    return standins::RunService(port);
  std::cerr << "unknown role: " << role << "\n";
  return 1;
}
