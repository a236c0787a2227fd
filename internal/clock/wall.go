package clock

import "time"

// Wall returns the wall-clock time, for logs, audit records and certificates. The wall clock may jump, so neither the fleet's
// replicated state nor lease durations use it.
func Wall() time.Time { return applyOffset(time.Now()) }
