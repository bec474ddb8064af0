#pragma once

#include <string>
#include <vector>

namespace quetzal {

/**
 * Extracts the timeline of one request from the logs of edge processes, in chronological order.
 *
 * It consists of the lines about the request and of the lines about the state of each VM that
 * handled it (configuration, store, targets, shutdown), from 3 s before its first line on that VM
 * to its last. A log line may have text before its JSON object; lines without an object are
 * ignored. The result is empty if no line refers to the request.
 */
std::vector<std::string> makeRequestTimeline(const std::string &requestId,
                                             const std::vector<std::string> &logLines);

} // namespace quetzal
