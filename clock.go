package catkinrail

import "time"

// Clock gives the current time. Code that takes decisions never reads the wall
// clock directly, so that tests and emulations can run it on a simulated clock.
type Clock interface {
	Now() time.Time
}
