#ifndef TEASELTHREAD_ENDPOINTS_RANDOM_SEQUENCE_H_
#define TEASELTHREAD_ENDPOINTS_RANDOM_SEQUENCE_H_

#include <cstdint>

namespace teaselthread {

// The next number of the SplitMix64 sequence that `state` has reached. Equal
// seeds give equal sequences.
inline uint64_t NextRandom(uint64_t* state) {
  uint64_t mixed = (*state += 0x9e3779b97f4a7c15);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_RANDOM_SEQUENCE_H_
