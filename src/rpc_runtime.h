// Process-wide care for gRPC.
#ifndef APRICOTYARD_RPC_RUNTIME_H
#define APRICOTYARD_RPC_RUNTIME_H

namespace apricotyard {

// Keeps gRPC's shared queue of callbacks alive until the process ends. gRPC 1.51 destroys the queue
// with the last channel that uses it; if that happens on one of the queue's own threads, for
// example when a callback drops the last stub, the thread goes on with freed memory and the process
// aborts
// ("ref_counted.h assertion failed: prior > 0"). Call before the first asynchronous call.
// Thread-safe; later calls do nothing.
void
HoldCallbackQueue();

} // namespace apricotyard

#endif
