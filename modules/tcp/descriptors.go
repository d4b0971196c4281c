package tcp

import (
	"math"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// MaxDescriptors returns how many descriptors this process may have open now.
func MaxDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errorx.Decorate(err, "read the limit of descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil //nolint:gosec // bounded
}
