package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/runworks/runworks"
)

// Hosts is a fake of the platform's host list, which lags behind its changes.
// Exported fields must be set before use.
type Hosts struct {
	// Lag is the age of the list that readers receive.
	Lag time.Duration

	mu       sync.Mutex
	versions []hostsVersion
}

type hostsVersion struct {
	at    time.Time
	hosts []runworks.Host
}

// Set replaces the list. Readers see it after Lag.
func (h *Hosts) Set(hosts []runworks.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostsVersion{at: time.Now(), hosts: slices.Clone(hosts)})
}

// SetLag changes Lag.
func (h *Hosts) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Lag = lag
}

// Put adds a host, or replaces the host with the same name.
func (h *Hosts) Put(host runworks.Host) {
	h.update(func(hosts []runworks.Host) []runworks.Host {
		hosts = slices.DeleteFunc(hosts, func(one runworks.Host) bool { return one.Name == host.Name })
		return append(hosts, host)
	})
}

// Remove removes a host from the list.
func (h *Hosts) Remove(name string) {
	h.update(func(hosts []runworks.Host) []runworks.Host {
		return slices.DeleteFunc(hosts, func(one runworks.Host) bool { return one.Name == name })
	})
}

func (h *Hosts) update(edit func([]runworks.Host) []runworks.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var current []runworks.Host
	if n := len(h.versions); n > 0 {
		current = slices.Clone(h.versions[n-1].hosts)
	}
	h.versions = append(h.versions, hostsVersion{at: time.Now(), hosts: edit(current)})
}

// Hosts implements runworks.HostList. It returns the list of Lag ago, or the first one if none is
// that old.
func (h *Hosts) Hosts(_ context.Context) ([]runworks.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := time.Now().Add(-h.Lag)
	var out []runworks.Host
	for i, v := range h.versions {
		if i > 0 && v.at.After(cutoff) {
			break
		}
		out = v.hosts
	}
	return slices.Clone(out), nil
}

// Handler returns a handler of GET /hosts, PUT /hosts with one host, DELETE /hosts/{name} and
// POST /control?lag_ms=N.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, _ := h.Hosts(r.Context())
		writeJSON(w, hosts)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var host runworks.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Put(host)
	})
	mux.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, r *http.Request) { h.Remove(r.PathValue("name")) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		ms, err := strconv.Atoi(r.URL.Query().Get("lag_ms"))
		if err != nil || ms < 0 {
			http.Error(w, "lag_ms must be an integer of 0 or more", http.StatusBadRequest)
			return
		}
		h.SetLag(time.Duration(ms) * time.Millisecond)
	})
	return mux
}
