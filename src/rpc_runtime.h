// Process-wide workarounds for gRPC.
#ifndef APRICOTYARD_RPC_RUNTIME_H
#define APRICOTYARD_RPC_RUNTIME_H

namespace apricotyard {

// Keeps gRPC's shared callback queue alive until the process ends. gRPC 1.51 destroys the queue
// together with the last channel that uses it. If this happens on one of the queue's own threads,
// for example because a callback releases the last stub, the thread continues to use freed memory
// and the process aborts ("ref_counted.h assertion failed: prior > 0"). Call it before the first
// asynchronous call. Thread-safe. Later calls do nothing.
void
KeepCallbackQueueAlive();

} // namespace apricotyard

#endif
