package admission

import (
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/idempotency"
)

const retryNotReady = time.Second

// Request is a call as the caller sent it.
type Request struct {
	// Key is the customer's API key.
	Key string
	// Model names the model of a call to an engine; Service the service of a plain call.
	Model   string
	Service string
	// Kind, Tier and Timeout are what the caller requested; empty or zero if nothing.
	Kind    string
	Tier    string
	Timeout time.Duration
	// IdempotencyKey is the caller's key for this request.
	IdempotencyKey string
	Call           runworks.Call
	PromptTokens   int
	MaxTokens      int
}

// Admission admits calls according to the active configuration. Set the exported fields before
// use.
type Admission struct {
	// Config holds the active configuration.
	Config *config.Follower
	// Shares holds this entry's share of the customers' limits.
	Shares *Shares

	limits limits
}

// Admitted is an admitted request. Call Release when it ends.
type Admitted struct {
	Request *runworks.Request
	// Release returns what the request uses of its customer's limits.
	Release func()
}

// Customer returns the customer with an API key, and the configuration it is from. The error
// wraps ErrNotReady, ErrNoKey or ErrUnknownKey.
func (a *Admission) Customer(key string) (*config.Snapshot, *runworks.Customer, error) {
	cfg := a.Config.Active()
	if cfg == nil {
		return nil, nil, runworks.NotRun(runworks.ErrNotReady, retryNotReady)
	}
	if key == "" {
		return nil, nil, runworks.NotRun(runworks.ErrNoKey, 0)
	}
	customer := cfg.CustomerByKey(key)
	if customer == nil {
		return nil, nil, runworks.NotRun(runworks.ErrUnknownKey, 0)
	}
	return cfg, customer, nil
}

// Admit admits a call as a request, or returns a Failure. Its outcome is not-run, except that for
// a call with an idempotency key it covers this attempt only.
func (a *Admission) Admit(r *Request) (*Admitted, error) {
	admitted, err := a.admit(r)
	if err == nil || !isUUIDv7(r.IdempotencyKey) {
		return admitted, err
	}
	return nil, keyedRejection(err)
}

func (a *Admission) admit(r *Request) (*Admitted, error) {
	cfg, customer, err := a.Customer(r.Key)
	if err != nil {
		return nil, err
	}
	service, err := findService(cfg, r)
	if err != nil {
		return nil, err
	}
	rule := cfg.Rule(customer.Name, r.Kind, service.Name)
	if rule == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNoRule, "customer %q, kind %q, service %q", customer.Name, r.Kind, service.Name), 0)
	}
	req, err := newRequest(cfg, customer, service, rule, r)
	if err != nil {
		return nil, err
	}
	release, failure := a.limits.acquire(time.Now(), customer, a.Shares.at(time.Now()))
	if failure != nil {
		return nil, failure
	}
	return &Admitted{Request: req, Release: release}, nil
}

// keyedRejection limits the rejection of a call with a key to this attempt: an earlier one under
// the same key may have run.
func keyedRejection(err error) error {
	var failure *runworks.Failure
	if !errors.As(err, &failure) {
		return err
	}
	failure.Outcome = runworks.OutcomeUnknown
	failure.IdleAttempt = true
	return failure
}

func findService(cfg *config.Snapshot, r *Request) (*runworks.Service, error) {
	if r.Service != "" {
		service := cfg.Service(r.Service)
		if service == nil || service.Kind != runworks.KindPlain {
			return nil, runworks.NotRun(errorx.Decorate(runworks.ErrUnknownService, "%q", r.Service), 0)
		}
		return service, nil
	}
	service := cfg.ServiceByModel(r.Model)
	if service == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrUnknownModel, "%q", r.Model), 0)
	}
	return service, nil
}

// newRequest builds the request as the rule allows it.
func newRequest(cfg *config.Snapshot, customer *runworks.Customer, service *runworks.Service, rule *runworks.Rule, r *Request) (*runworks.Request, error) {
	tier, err := chooseTier(cfg, rule, r.Tier)
	if err != nil {
		return nil, err
	}
	key, err := acceptedKey(rule, r.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	return &runworks.Request{
		ID: runworks.RequestID(uuid.NewString()), Call: r.Call, Kind: service.Kind, Service: service.Name,
		Customer: customer.Name, Weight: customer.Weight, Tier: tier.Name, Rank: tier.Rank,
		Deadline: time.Now().Add(timeLimit(tier, rule, r.Timeout)), Repeatable: !rule.NotRepeatable,
		IdempotencyKey: key, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
	}, nil
}

// chooseTier returns the requested tier if it is not above the rule's.
func chooseTier(cfg *config.Snapshot, rule *runworks.Rule, requested string) (*runworks.Tier, error) {
	highest := cfg.Tier(rule.Tier)
	if requested == "" {
		return highest, nil
	}
	tier := cfg.Tier(requested)
	if tier == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrBadRequest, "no tier is named %q", requested), 0)
	}
	if tier.Rank < highest.Rank {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNoRule, "the rule allows tier %q at the highest", highest.Name), 0)
	}
	return tier, nil
}

// timeLimit returns the requested time limit, up to what the rule allows.
func timeLimit(tier *runworks.Tier, rule *runworks.Rule, requested time.Duration) time.Duration {
	upper := max(rule.MaxTimeout, tier.Timeout)
	if requested > 0 {
		return min(requested, upper)
	}
	return tier.Timeout
}

// acceptedKey returns the idempotency key to use. A key owner can prove only a UUIDv7 unused:
// another key is an error where the request must not run twice, and is ignored elsewhere.
func acceptedKey(rule *runworks.Rule, key string) (string, error) {
	if key == "" || isUUIDv7(key) {
		return key, nil
	}
	if rule.NotRepeatable {
		return "", runworks.NotRun(errorx.Decorate(runworks.ErrBadRequest, "the Idempotency-Key of a request that is not repeatable must be a UUIDv7"), 0)
	}
	return "", nil
}

func isUUIDv7(key string) bool {
	_, ok := idempotency.CreatedAt(key)
	return ok
}
