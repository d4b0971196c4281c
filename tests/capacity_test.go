package tests

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkIdle measures the processor time, memory and control traffic of an entry and an agent
// without calls, with several numbers of agents. docs/CAPACITY.md takes its slopes from it.
func BenchmarkIdle(b *testing.B) {
	const idleTime = 30 * time.Second
	for _, agents := range []int{4, 16, 48} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := capacitySite(b, agents)
			before := s.costs()
			time.Sleep(idleTime)
			after := s.costs()
			perSecond := func(x float64) float64 { return x / idleTime.Seconds() }
			b.ReportMetric(100*perSecond((after.entryCPU-before.entryCPU).Seconds()), "entry-%core")
			b.ReportMetric(100*perSecond((after.agentCPU-before.agentCPU).Seconds())/float64(agents), "agent-%core")
			b.ReportMetric(perSecond(after.entryBytes-before.entryBytes), "entry-B/s")
			b.ReportMetric(float64(after.entryMemory)/(1<<20), "entry-MiB")
			b.ReportMetric(float64(after.agentMemory)/float64(agents)/(1<<20), "agent-MiB")
		})
	}
}

// BenchmarkWaiting measures the memory of entry and agents for each waiting or running request, and
// the control traffic for it.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{300, 900} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := capacitySite(b, 4)
			before := s.costs()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var calls sync.WaitGroup
			client := &http.Client{Transport: &http.Transport{}}
			for i := range waiting {
				c := &completionCall{Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(i), MaxTokens: 10_000}
				calls.Go(func() { c.do(ctx, client) })
			}
			s.waitFor("all requests are at the entry", func() bool { return s.inFlight("entry-1") == waiting })
			time.Sleep(2 * time.Second) // for the offers that agents then make
			after := s.costs()
			b.ReportMetric(float64(after.entryMemory-before.entryMemory)/float64(waiting), "entry-B/waiting")
			b.ReportMetric(float64(after.agentMemory-before.agentMemory)/float64(waiting), "agents-B/waiting")
			b.ReportMetric((after.entryBytes-before.entryBytes)/float64(waiting), "control-B/request")
			cancel()
			calls.Wait()
		})
	}
}

// capacitySite starts one entry and the given number of agents, each with a stand-in; those of the
// engines are slow.
func capacitySite(b *testing.B, agents int) *site {
	b.Helper()
	servers := []serverSpec{{name: "app-1", plain: true, slots: 16}}
	for i := range agents - 1 {
		servers = append(servers, serverSpec{name: fmt.Sprintf("e%d", i), slots: 4, args: []string{"--decode", "1"}})
	}
	return newSite(b, servers, []string{"entry-1"})
}

// costs holds the resources used by the entry, and by all agents together; memory is in bytes.
type costs struct {
	entryCPU, agentCPU       time.Duration
	entryMemory, agentMemory int
	entryBytes               float64
}

func (s *site) costs() costs {
	s.t.Helper()
	var c costs
	entry := s.entries["entry-1"]
	c.entryCPU = cpuTime(s.t, entry.cmd.Process.Pid)
	c.entryMemory = residentMemory(s.t, entry.cmd.Process.Pid)
	c.entryBytes = sumMetric(s.t, "http://"+entry.address("operators")+"/metrics", "runworks_control_bytes_total")
	for _, a := range s.agents {
		c.agentCPU += cpuTime(s.t, a.cmd.Process.Pid)
		c.agentMemory += residentMemory(s.t, a.cmd.Process.Pid)
	}
	return c
}

// residentMemory returns the resident memory of a process in bytes, from /proc.
func residentMemory(t testing.TB, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return pages * os.Getpagesize()
}

// sumMetric returns the sum of a counter over its labels.
func sumMetric(t testing.TB, url, name string) float64 {
	res, err := http.Get(url) //nolint:gosec // a process of this test
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	sum := 0.0
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), name+"{") {
			value, _ := strconv.ParseFloat(scanner.Text()[strings.LastIndexByte(scanner.Text(), ' ')+1:], 64)
			sum += value
		}
	}
	return sum
}
