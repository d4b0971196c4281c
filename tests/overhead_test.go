package tests

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTicks is the number of ticks per second in which /proc reports processor time.
const clockTicks = 100

// BenchmarkOverhead compares a call through an entry and an agent with the same call made directly
// to the stand-in, all as separate processes. It reports the ratio of the times, and the processor
// time of entry and agent per call.
func BenchmarkOverhead(b *testing.B) {
	for _, parallel := range []int{1, 32} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) { benchOverhead(b, parallel) })
	}
}

func benchOverhead(b *testing.B, parallel int) {
	s := newSite(b, []serverSpec{
		{name: "fast", slots: 64, args: []string{"--prefill", "0", "--decode", "0"}},
		{name: "app-1", plain: true, slots: 64},
	}, []string{"entry-1"})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
	direct := s.backends["fast"].address("standin")
	through := s.entries["entry-1"].address("callers")
	b.ResetTimer()
	directTime := timeCalls(b, client, direct, parallel)
	before := s.costs()
	throughTime := timeCalls(b, client, through, parallel)
	b.StopTimer()
	b.ReportMetric(float64(directTime.Microseconds())/float64(b.N), "direct-us/call")
	b.ReportMetric(float64(throughTime.Microseconds())/float64(b.N), "through-us/call")
	b.ReportMetric(float64(throughTime)/float64(directTime), "x-direct")
	after := s.costs()
	b.ReportMetric(float64((after.entryCPU-before.entryCPU).Microseconds())/float64(b.N), "entry-us/call")
	b.ReportMetric(float64((after.agentCPU-before.agentCPU).Microseconds())/float64(b.N), "agent-us/call")
	b.ReportMetric((after.entryBytes-before.entryBytes)/float64(b.N), "control-B/call")
	client.CloseIdleConnections()
}

// timeCalls makes b.N calls, parallel at a time, and returns the time taken for all of them.
func timeCalls(b *testing.B, client *http.Client, address string, parallel int) time.Duration {
	began := time.Now()
	errs := make(chan error, parallel)
	for i := range parallel {
		n := b.N / parallel
		if i < b.N%parallel {
			n++
		}
		go func() {
			var err error
			for range n {
				if e := overheadCall(client, address); e != nil {
					err = e
				}
			}
			errs <- err
		}()
	}
	for range parallel {
		if err := <-errs; err != nil {
			b.Fatal(err)
		}
	}
	return time.Since(began)
}

func overheadCall(client *http.Client, address string) error {
	body := strings.NewReader(`{"model":"site-model","prompt":"why is the compressor warm","max_tokens":16}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer site-key")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// BenchmarkStream measures the cost of a streamed token at entry and agent. Each token is an event
// of its own, as engines send them.
func BenchmarkStream(b *testing.B) {
	const (
		calls  = 256
		tokens = 500
		lanes  = 32
	)
	s := newSite(b, []serverSpec{
		{name: "fast", slots: lanes, args: []string{"--prefill", "0", "--decode", "200"}},
		{name: "app-1", plain: true, slots: 1},
	}, []string{"entry-1"})
	before := s.costs()
	errs := make(chan error, lanes)
	for lane := range lanes {
		go func() {
			var err error
			for i := lane; i < calls; i += lanes {
				c := &completionCall{Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(i), MaxTokens: tokens, Stream: true}
				if e := c.check(b.Context(), http.DefaultClient); e != nil {
					err = e
				}
			}
			errs <- err
		}()
	}
	for range lanes {
		if err := <-errs; err != nil {
			b.Fatal(err)
		}
	}
	after := s.costs()
	b.ReportMetric(float64((after.entryCPU-before.entryCPU).Microseconds())/(calls*tokens), "entry-us/token")
	b.ReportMetric(float64((after.agentCPU-before.agentCPU).Microseconds())/(calls*tokens), "agent-us/token")
	b.ReportMetric(float64(after.entryMemory-before.entryMemory)/lanes, "entry-B/stream")
}

// cpuTime returns the user and system time of a process, from /proc.
func cpuTime(t testing.TB, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}
