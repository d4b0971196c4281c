package runworks

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Trait is a property of a call that may make backend servers exit: its whole content, or a part of
// its prompt that other calls share.
type Trait struct {
	Fingerprint Fingerprint
	// Part is the ID of the prompt part, shortened to maxTraitPart bytes; empty for a call's whole
	// content.
	Part string
	// Position is the part's position in the prompt, from 1. Fewer calls share a later part.
	Position int
}

const (
	// partPrefix begins the fingerprints of prompt parts.
	partPrefix = "part-"
	// maxTraitParts bounds the parts of a prompt that are traits. Usual prompts have two or three.
	maxTraitParts = 32
	// maxTraitPart bounds Trait.Part, in bytes.
	maxTraitPart = 64
)

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// Traits returns the traits of the call: its whole content, then the parts of its prompt that other
// calls may share. customer is the customer's name, empty if unknown.
func (in *Inbound) Traits(customer string) []Trait {
	shared := in.SharedParts()
	shared = shared[:min(len(shared), maxTraitParts)]
	out := make([]Trait, 1, 1+len(shared))
	out[0] = Trait{Fingerprint: in.Fingerprint(customer)}
	for i, part := range shared {
		if part != "" && !slices.Contains(shared[:i], part) {
			out = append(out, partTrait(part, i+1))
		}
	}
	return out
}

// partTrait returns the trait of a prompt part. The fingerprint is a hash, as callers choose the ID.
func partTrait(part string, position int) Trait {
	sum := sha256.Sum256([]byte(part))
	f := Fingerprint(partPrefix + hex.EncodeToString(sum[:fingerprintBytes]))
	return Trait{Fingerprint: f, Part: part[:min(len(part), maxTraitPart)], Position: position}
}

// Suspect is what is known about a trait of calls during which backend servers exited. Reports about
// one trait can be merged in any order and any number of times.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Part and Position are those of the Trait. Versions that know whole requests alone drop them.
	Part     string `json:"part,omitempty"`
	Position int    `json:"position,omitempty"`
	// Exits are the backend servers that exited when they began to run a call with the trait, each
	// incarnation once.
	Exits []ServerExit `json:"ends,omitempty"`
	// ClearedAt is the time up to which exits do not count: a backend server answered a call with
	// the trait then, or an operator lifted its quarantine. Zero means never.
	ClearedAt time.Time `json:"cleared,omitzero"`
	// TriedAt is when an entry last sent a call with the quarantined trait to find out whether
	// servers still exit. Zero means never.
	TriedAt time.Time `json:"tried,omitzero"`
}

// ServerExit is the exit of a backend server during a call.
type ServerExit struct {
	// Server is the server's Instance.IncarnationID.
	Server string `json:"server"`
	// At is when the exit was observed, by the wall clock of the entry that observed it.
	At time.Time `json:"at"`
}
