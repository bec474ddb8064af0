#pragma once

#include <string>
#include <vector>

namespace quetzal {

/**
 * What the logs of edge processes tell of one request, in the order of time: its own lines, and
 * what its router came to believe (configuration, store, targets, its stop) from a little before
 * the request to its end.
 *
 * Each line may have text before its JSON object; lines without one are passed over. The result is
 * empty when no line names the request.
 */
std::vector<std::string> makeRequestTimeline(const std::string &requestId,
                                             const std::vector<std::string> &logLines);

} // namespace quetzal
