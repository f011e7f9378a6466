#pragma once

#include "net/http_message.h"
#include "traffic/services.h"

namespace chervilfield::traffic {

/// Serves `GET /admin/v1/explain?model=&customer=&prompt=` or `?path=&customer=`: returns the
/// target to which a request of the customer would be sent now, and the cost terms of each
/// candidate in milliseconds. Nothing is sent or counted. The prompt may be empty.
net::Response explainRequest(const Services &services, const net::Request &request);

} // namespace chervilfield::traffic
