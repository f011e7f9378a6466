#pragma once

#include "daemon/settings.h"
#include "entry/options.h"

namespace chervilfield::daemon {

/// Returns the options of an entry instance; `settings.entry` must be set.
entry::EntryOptions entryOptions(const Settings &settings);

} // namespace chervilfield::daemon
