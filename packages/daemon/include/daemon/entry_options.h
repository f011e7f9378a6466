#pragma once

#include "daemon/settings.h"
#include "entry/options.h"

namespace chervilfield::daemon {

/// Converts settings to the options of an entry instance. `settings.entry` must have a value.
entry::EntryOptions entryOptions(const Settings &settings);

} // namespace chervilfield::daemon
