#ifndef TEASELTHREAD_REQUESTS_CRASH_GUARD_H_
#define TEASELTHREAD_REQUESTS_CRASH_GUARD_H_

#include "libteaselthread/endpoints/crash_evidence_queue.h"
#include "teaselthread/requests/engine_probe.h"
#include "teaselthread/requests/request_checks.h"

namespace teaselthread {

// Keeps prompts that crash model engines from them: collects the evidence from
// this gateway's requests, has it confirmed or disproved, and logs each
// decision on it.
class CrashGuard {
 public:
  // The arguments must outlive the io_context's run.
  CrashGuard(GatewayState* state, EndpointConnections* connections);

  // Whether the request must not be sent, as it would probably crash an engine.
  bool Blocks(const ClassifiedRequest& request);
  // Whether Blocks would have to decide on a trial or refuse the request.
  bool IsSuspect(const ClassifiedRequest& request) const;
  // An engine has sent the first event of its answer to the request.
  void OnAnswerBegun(const ClassifiedRequest& request);
  // The connection to the engine broke before that. The request was sent to it
  // at `sent_at`.
  void OnBreak(const ClassifiedRequest& request,
               const EndpointPtr& engine,
               Timestamp sent_at);

 private:
  // Takes the evidence that is decided out of the queue.
  void JudgeEvidence();
  void OnCrash(const PendingCrash& crash);

  GatewayState* state_;
  CrashEvidenceQueue queue_;
  EngineProbe probe_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_CRASH_GUARD_H_
