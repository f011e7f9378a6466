#pragma once

#include "scheduling/types.h"

namespace chervilfield::scheduling {

// Returns the request as one whose caller has received a part of the answer.
inline ScheduledRequest begun(ScheduledRequest request)
{
    request.hasStarted = true;
    return request;
}

} // namespace chervilfield::scheduling
