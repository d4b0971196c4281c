package runworks

import (
	"testing"

	"github.com/matryer/is"
)

// TestFingerprint checks that a repeated call has the same fingerprint under another ID, API
// key and stated size, and that calls with different content have different ones.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := Inbound{ID: "1", Method: "POST", Host: "h", Target: "/a/b?c", Path: "/a/b", Body: []byte("body"), APIKey: "k"}
	again := base
	again.ID, again.APIKey, again.PromptTokens = "2", "l", 7
	is.Equal(base.Fingerprint("yard"), again.Fingerprint("yard"))
	seen := map[Fingerprint]bool{base.Fingerprint("yard"): true, base.Fingerprint(""): true}
	for _, change := range []func(in *Inbound){
		func(in *Inbound) { in.Method = "PUT" },
		func(in *Inbound) { in.Host = "i" },
		func(in *Inbound) { in.Target = "/a/b?d" },
		func(in *Inbound) { in.Body = []byte("bodz") },
		func(in *Inbound) { in.Body = nil },
		func(in *Inbound) { in.Host, in.Target = "h/a", "/b?c" },
		func(in *Inbound) { in.Target, in.Body = "/a/b?cb", []byte("ody") },
	} {
		other := base
		change(&other)
		is.True(!seen[other.Fingerprint("yard")])
		seen[other.Fingerprint("yard")] = true
	}
}
