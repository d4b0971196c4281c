package tests

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// longDocument returns a version of the site's document of some 60 KB, most of which is customers.
func longDocument(version int) []byte {
	var customers strings.Builder
	for i := range 400 {
		fmt.Fprintf(&customers, `{"name": "idle-%d", "apiKeys": ["key-of-the-idle-customer-%d", "%x"], "unit": "tokens", "plainTokens": 200, "ratePerS": 1000},`, i, i, i*i*i*7919)
	}
	return []byte(strings.Replace(fmt.Sprintf(platformDocument, version), `"tenants": [`, `"tenants": [`+customers.String(), 1))
}

// storeReads returns how many reads the store has served or refused.
func (p *platformSite) storeReads() int {
	p.t.Helper()
	var calls map[string]int
	if !getJSON("http://"+p.store.address("standin")+"/calls", &calls) {
		p.t.Fatal("the store's calls could not be read")
	}
	return calls["/-/log-read"] + calls["/-/log-newest"]
}

// awaitVersion waits until all fronts have a version of the document active.
func (p *platformSite) awaitVersion(names []string, version int64) {
	p.t.Helper()
	for _, name := range names {
		p.waitFor(fmt.Sprintf("%s has version %d", name, version), func() bool {
			var status struct {
				RoutingVersion int64 `json:"routing_version"`
			}
			return getJSON("http://"+p.fronts[name].address("operators")+"/status", &status) && status.RoutingVersion == version
		})
	}
}

// TestPlatformLongDocumentIsReadByFew guards against reads of the store that grow with changes
// times fronts: of ten fronts, two read each change of a long document, and the others get it from
// them.
func TestPlatformLongDocumentIsReadByFew(t *testing.T) {
	const (
		fronts  = 10
		changes = 12
		readers = 2
		topics  = 2
		// pollInterval is below the interval between two polls of a reader.
		pollInterval = 500 * time.Millisecond
	)
	p := newBarePlatformSite(t)
	p.put("keyed.op", "config", longDocument(1))
	p.addServer("app-1")
	var names []string
	for i := range fronts {
		names = append(names, fmt.Sprint("front-", i))
	}
	p.startFronts(names)
	for _, name := range names {
		p.waitReady(name, fronts)
	}
	start, before := time.Now(), p.storeReads()
	for version := int64(2); version < 2+changes; version++ {
		p.put("keyed.op", "config", longDocument(int(version)))
		p.awaitVersion(names, version)
	}
	polls := readers * topics * (int(time.Since(start)/pollInterval) + 1)
	if reads, allowed := p.storeReads()-before, readers*changes+polls; reads > allowed {
		t.Errorf("%d reads for %d changes, %d allowed", reads, changes, allowed)
	}
}
