#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace quetzal {

/**
 * Runs "quetzalctl explain REQUEST-ID FILE...": prints the history of a request from log files.
 *
 * Returns the exit code: 0, 2 for an invalid command line or an unreadable file, 9 if no line names
 * the request.
 */
int explainRequest(const std::vector<std::string> &operands, std::ostream &out,
                   std::ostream &error);

} // namespace quetzal
