package runworks

import "time"

// Rollout is the operators' order to move the calls of a service to servers of a version.
type Rollout struct {
	Service       string
	TargetVersion string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// RolloutState is how far an order was carried out.
type RolloutState string

// The states of an order. The last two are terminal.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Terminal reports whether the state is final.
func (s RolloutState) Terminal() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutStatus is the state of the order for a version, as all entries agreed on it.
type RolloutStatus struct {
	TargetVersion string
	State         RolloutState
}
