#pragma once

/**
 * Module transport: I/O, threads and clocks for the modules that perform no I/O themselves.
 *
 * Provides framed messages between processes over TCP, the clients of the key-value service and of
 * the VM list, and the polling of targets' load. Depends on protocol, ownership, targets, telemetry
 * and cpp-httplib.
 */

#include "transport/link/message_network.h"
#include "transport/platform/vm_list_client.h"
#include "transport/process/monotonic_clock.h"
#include "transport/process/work_queue.h"
#include "transport/store/store_client.h"
