package clock

import "time"

// Wall is the time of day, for records that people read: logs, the audit, certificates. Nothing that the fleet agrees on
// and nothing that a lease lasts by is counted by it, since it may jump.
func Wall() time.Time { return jump(time.Now()) }
