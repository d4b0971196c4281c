package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

// The seed is fixed so that CI runs are reproducible; -rapid.seed on the command line
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// document returns a valid configuration that is distinguished by n.
func document(n int) *runworks.Config {
	return &runworks.Config{
		Services: []runworks.Service{{Name: "llm", Kind: runworks.KindEngine, Models: []string{"m"}, BackendServers: []runworks.BackendServer{
			{Name: "e1", Hall: "a", Address: "http://10.0.0.1:8000", Slots: n + 1},
		}}},
		Tiers: []runworks.Tier{{Name: "urgent", Timeout: time.Minute}},
		Rules: []runworks.Rule{{Services: []string{"llm"}, Tier: "urgent"}},
	}
}

// documentNumber returns the number of a document; 0 for nil.
func documentNumber(cfg *runworks.Config) int {
	if cfg == nil {
		return 0
	}
	return cfg.Services[0].BackendServers[0].Slots - 1
}

func encode(t interface{ Fatal(...any) }, r Record) []byte {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestFoldAgreesFromEveryOffset generates logs of applies and republished documents, some of
// them late, duplicate or invalid. A reader that starts at any offset must agree with one that
// has read the whole log, or not be synced yet.
func TestFoldAgreesFromEveryOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []runworks.LogRecord
		var whole LogState
		whole.Reset(0)
		states := []LogState{whole}
		for n := 1; n <= 25; n++ {
			rec := runworks.LogRecord{Offset: int64(len(log)), Data: randomRecord(t, n, states)}
			log = append(log, rec)
			before := whole.Version
			whole.Add(rec)
			if whole.Version < before {
				t.Fatalf("version %d came after %d", whole.Version, before)
			}
			states = append(states, whole)
		}
		for first := range log {
			var late LogState
			late.Reset(int64(first))
			for _, rec := range log[first:] {
				late.Add(rec)
				want := &states[rec.Offset+1]
				if late.Synced() && (late.Version != want.Version || documentNumber(late.Config) != documentNumber(want.Config)) {
					t.Fatalf("read from %d: version %d (%d) at %d, want %d (%d)",
						first, late.Version, documentNumber(late.Config), rec.Offset, want.Version, documentNumber(want.Config))
				}
			}
		}
	})
}

// randomRecord returns the next record of a writer whose state is up to three records old.
func randomRecord(t *rapid.T, n int, states []LogState) []byte {
	known := &states[len(states)-1-rapid.IntRange(0, min(3, len(states)-1)).Draw(t, "lag")]
	switch rapid.SampledFrom([]string{"apply", "apply", "restate", "again", "bad", "noise"}).Draw(t, "kind") {
	case "restate":
		if known.Config == nil {
			return []byte("{}")
		}
		return encode(t, Record{Kind: RecordRepublish, ID: fmt.Sprint(n), Version: known.Version, AsOf: known.Next - 1, Config: known.Config})
	case "again":
		return encode(t, Record{Kind: RecordApply, ID: "again", Base: known.Version, Config: document(n)})
	case "bad":
		cfg := document(n)
		cfg.Tiers = nil
		return encode(t, Record{Kind: RecordApply, ID: fmt.Sprint(n), Base: known.Version, Config: cfg})
	case "noise":
		return []byte("not a record")
	}
	return encode(t, Record{Kind: RecordApply, ID: fmt.Sprint(n), Base: known.Version, Config: document(n)})
}

// applyInput and applyOutput describe one Apply of an operator for the checker.
type applyInput struct {
	base int64
}

type applyOutput struct {
	accepted bool
	version  int64
	unknown  bool
}

// registerModel is a version register with compare-and-set. An apply with unknown outcome may
// or may not have taken effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		now, _ := state.(int64)
		in, _ := input.(applyInput)
		out, _ := output.(applyOutput)
		accepted := in.base == now
		switch {
		case out.unknown && accepted:
			return []any{now, now + 1}
		case out.unknown:
			return []any{now}
		case accepted && out.accepted && out.version == now+1:
			return []any{now + 1}
		case !accepted && !out.accepted:
			return []any{now}
		}
		return nil
	},
}

// TestRacingOperators runs concurrent applies with lost responses and an outage. The history
// must be linearizable as one register with compare-and-set.
func TestRacingOperators(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			log := &standin.Log{AppendsPerSecond: 100}
			var mu sync.Mutex
			var ops []porcupine.Operation
			var work sync.WaitGroup
			for operator := range 5 {
				work.Go(func() {
					for i := range 4 {
						time.Sleep(time.Duration((seed*7+operator*13+i*29)%50) * time.Millisecond)
						version, _, err := Latest(t.Context(), log)
						if err != nil {
							continue
						}
						ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
						called := time.Now()
						result, err := Apply(ctx, log, version, document(operator*10+i))
						cancel()
						returned := time.Now().UnixNano()
						out := applyOutput{accepted: err == nil, version: result.Version, unknown: err != nil && !errors.Is(err, runworks.ErrStaleBase)}
						if out.unknown {
							returned = math.MaxInt64 // it may take effect later
						}
						mu.Lock()
						ops = append(ops, porcupine.Operation{
							ClientId: operator, Input: applyInput{base: version}, Call: called.UnixNano(),
							Output: out, Return: returned,
						})
						mu.Unlock()
					}
				})
			}
			work.Go(func() {
				log.SetFaults(standin.LogFaults{LoseResponses: 5, LatencyMS: 3})
				time.Sleep(60 * time.Millisecond)
				log.SetFaults(standin.LogFaults{Outage: true})
				time.Sleep(time.Second)
				log.SetFaults(standin.LogFaults{LoseResponses: 3})
			})
			work.Wait()
			if !porcupine.CheckOperations(registerModel.ToModel(), ops) {
				t.Errorf("seed %d: the results are not linearizable: %+v", seed, ops)
			}
		})
	}
}

// TestRegisterCheckerCatches checks that the checker rejects a history with two winners.
func TestRegisterCheckerCatches(t *testing.T) {
	is := is.New(t)
	ops := []porcupine.Operation{
		{ClientId: 0, Input: applyInput{base: 0}, Call: 0, Output: applyOutput{accepted: true, version: 1}, Return: 10},
		{ClientId: 1, Input: applyInput{base: 0}, Call: 5, Output: applyOutput{accepted: true, version: 1}, Return: 15},
	}
	is.True(!porcupine.CheckOperations(registerModel.ToModel(), ops))
}

func startFollower(t *testing.T, log runworks.LogService, republishInterval time.Duration) (f *Follower, stop func()) {
	t.Helper()
	f = &Follower{Log: log, PollInterval: time.Second, RepublishInterval: republishInterval, Logger: hclog.NewNullLogger()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return f, func() {
		cancel()
		<-done
	}
}

// TestRetentionKeepsTheDocument runs ten followers that republish the document for an hour,
// while the log drops old records. A follower that starts late must still get the document,
// and it must be republished about once per interval, not once per follower.
func TestRetentionKeepsTheDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &standin.Log{Retain: 15 * time.Minute}
		_, err := Apply(t.Context(), log, 0, document(7))
		is.NoErr(err)
		for range 10 {
			_, stop := startFollower(t, log, 5*time.Minute)
			defer stop()
		}
		for range 4 {
			time.Sleep(15 * time.Minute)
			lateFollower, stop := startFollower(t, log, time.Hour)
			time.Sleep(2 * time.Second)
			is.Equal(lateFollower.Version(), int64(1))
			is.Equal(documentNumber(lateFollower.Active().Config), 7)
			stop()
		}
		page, err := log.Read(t.Context(), 0)
		is.True(errors.Is(err, runworks.ErrTruncated)) // the first record is gone
		is.True(page.Next < 40)                        // one hour of ten followers, every 5 to 7.5 minutes
		t.Logf("%d records in an hour", page.Next)
	})
}

// TestOutageKeepsActiveConfig checks that during an outage of the log the active
// configuration is kept and Apply fails, and that the next version becomes active within
// seconds after it.
func TestOutageKeepsActiveConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &standin.Log{}
		_, err := Apply(t.Context(), log, 0, document(1))
		is.NoErr(err)
		f, stop := startFollower(t, log, time.Hour)
		defer stop()
		time.Sleep(2 * time.Second)
		log.SetFaults(standin.LogFaults{Outage: true})
		time.Sleep(10 * time.Minute)
		is.Equal(f.Version(), int64(1))
		_, err = Apply(t.Context(), log, 1, document(2))
		is.True(errors.Is(err, standin.ErrOutage))
		log.SetFaults(standin.LogFaults{})
		_, err = Apply(t.Context(), log, 1, document(2))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.Equal(f.Version(), int64(2))
	})
}

// TestPeerDocument checks that a document of a peer is applied, but never an older or invalid
// one.
func TestPeerDocument(t *testing.T) {
	is := is.New(t)
	f := &Follower{Logger: hclog.NewNullLogger()}
	f.ApplyDocument(5, document(5))
	f.ApplyDocument(3, document(3))
	is.Equal(f.Version(), int64(5))
	is.Equal(documentNumber(f.Active().Config), 5)
	f.ApplyDocument(6, &runworks.Config{})
	is.Equal(f.Version(), int64(5)) // an invalid document is ignored
}

// BenchmarkFold measures a change at the design size, from the bytes of the record to the
// snapshot.
func BenchmarkFold(b *testing.B) {
	for _, servers := range []int{350, 3500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg := largeConfig(servers, servers*2500/3500)
			data := encode(b, Record{Kind: RecordApply, ID: "x", Config: cfg})
			b.ReportAllocs()
			for b.Loop() {
				var f LogState
				f.Reset(0)
				f.Add(runworks.LogRecord{Data: data})
				if NewSnapshot(f.Version, f.Config).Version != 1 {
					b.Fatal("not accepted")
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// largeConfig returns a configuration with the given numbers of servers and customers.
func largeConfig(servers, customers int) *runworks.Config {
	cfg := document(1)
	s := &cfg.Services[0]
	s.BackendServers = nil
	for i := range servers {
		s.BackendServers = append(s.BackendServers, runworks.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Hall: fmt.Sprintf("hall-%d", i%16), Address: fmt.Sprintf("http://10.%d.%d.1:8000", i/250, i%250), Slots: 8,
		})
	}
	for i := range customers {
		cfg.Customers = append(cfg.Customers, runworks.Customer{
			Name: fmt.Sprintf("customer-%d", i), KeySHA256: []string{fmt.Sprintf("%064x", i)}, RatePerSecond: 10, Concurrency: 20,
		})
	}
	return cfg
}
