#pragma once

#include "scheduling/types.h"

namespace chervilfield::scheduling {

/// Prompts with more tokens than this count as long: one chunk of prefill, which is the unit in
/// which engines schedule prompts. Equal to
/// `dispatch::PlacementOptions::longPromptThresholdTokens`.
inline constexpr double kLongPromptTokens = 2048;

inline constexpr int kMaxUrgency = 9; ///< Urgency of the least urgent requests.

/// Returns true if the prompt is longer than `kLongPromptTokens`. Lengths that are not a number
/// count as short.
bool isLong(const ScheduledRequest &request);

/// Returns the urgency of the request in the queue of an engine, from 0 (admitted first) to
/// `kMaxUrgency`. A smaller priority comes first, then short prompts before long ones. The levels
/// are 1 + 2 x priority for short prompts and the next one for long prompts. A stream that has
/// begun is one level more urgent than new requests of its kind; it may share a level with long
/// prompts of the next higher priority, but never precedes them. Negative priorities count as 0.
/// Only four priorities have two levels: both lengths of priority 4 and all greater priorities
/// share the last one.
int engineUrgency(const ScheduledRequest &request);

} // namespace chervilfield::scheduling
