#pragma once

#include "standins/common/standin_server.h"
#include "standins/vmlist/vm_list_model.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace quetzal::standins {

/** Serves a vm_list_model over HTTP, with control routes under /standin. */
class vm_list_server
{
public:
    vm_list_server(nlohmann::json vms, absl::Duration lag);

    /** Starts listening; throws std::system_error if the address cannot be bound. */
    void start(const std::string &ip, int port);
    /** Returns the port that the server listens on. */
    int port() const { return m_server.port(); }
    /** Waits for running handlers and shuts the server down. */
    void finish();

private:
    void list(httplib::Response &response);
    void replace(const httplib::Request &request, httplib::Response &response);
    void setState(const httplib::Request &request, httplib::Response &response);
    void setLag(const httplib::Request &request, httplib::Response &response);

    standin_server m_server;
    std::mutex m_mutex;
    vm_list_model m_model;
    std::int64_t m_reads = 0;
};

} // namespace quetzal::standins
