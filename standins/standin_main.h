#ifndef TEASELTHREAD_STANDINS_STANDIN_MAIN_H_
#define TEASELTHREAD_STANDINS_STANDIN_MAIN_H_

#include <cstdint>

namespace teaselthread::standins {

// Each serves HTTP on a loopback port until SIGTERM or SIGINT. The head of the
// source file describes the interface and the faults that can be injected.
int RunPlatform(uint16_t port);
int RunEngine(uint16_t port, uint32_t token_interval_ms, uint32_t event_count);
int RunService(uint16_t port);

}  // namespace teaselthread::standins

#endif  // TEASELTHREAD_STANDINS_STANDIN_MAIN_H_
