// Package pause provides sleeps that a context or a channel can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Until waits for d, until a receive from wake succeeds, or until ctx is done.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
