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

// Request is what a caller wants, as its call says.
type Request struct {
	// Key is the customer's key.
	Key string
	// Model names the model for an engine; Service the service for a plain call.
	Model   string
	Service string
	// Kind, Tier and Timeout are the caller's wishes; empty or zero means none.
	Kind    string
	Tier    string
	Timeout time.Duration
	// IdempotencyKey is the caller's key for this request.
	IdempotencyKey string
	Call           runworks.Call
	PromptTokens   int
	MaxTokens      int
}

// Admission admits calls by the configuration in force. Set the exported
// fields before use.
type Admission struct {
	// Config gives the configuration in force.
	Config *config.Follower
	// Shares tells this entry's part of the customers' limits.
	Shares *Shares

	limits limits
}

// Admitted is a request that was let in; call Release at its end.
type Admitted struct {
	Request *runworks.Request
	// Release gives back what the request holds of its customer's limits.
	Release func()
}

// Customer finds who calls.
func (a *Admission) Customer(key string) (*config.InForce, *runworks.Customer, error) {
	now := a.Config.InForce()
	if now == nil {
		return nil, nil, runworks.NotRun(runworks.ErrNotReady, retryNotReady)
	}
	if key == "" {
		return nil, nil, runworks.NotRun(runworks.ErrNoKey, 0)
	}
	customer := now.CustomerByKey(key)
	if customer == nil {
		return nil, nil, runworks.NotRun(runworks.ErrUnknownKey, 0)
	}
	return now, customer, nil
}

// Admit lets a call in as a request, or gives a Failure: not-run in every case,
// but that a call with an idempotency key speaks for itself alone.
func (a *Admission) Admit(ask *Request) (*Admitted, error) {
	admitted, err := a.admit(ask)
	if err == nil || !minted(ask.IdempotencyKey) {
		return admitted, err
	}
	return nil, keyedRefusal(err)
}

func (a *Admission) admit(ask *Request) (*Admitted, error) {
	now, customer, err := a.Customer(ask.Key)
	if err != nil {
		return nil, err
	}
	service, err := findService(now, ask)
	if err != nil {
		return nil, err
	}
	rule := now.Rule(customer.Name, ask.Kind, service.Name)
	if rule == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNoRule, "customer %q, kind %q, service %q", customer.Name, ask.Kind, service.Name), 0)
	}
	req, err := newRequest(now, customer, service, rule, ask)
	if err != nil {
		return nil, err
	}
	release, failure := a.limits.take(time.Now(), customer, a.Shares.at(time.Now()))
	if failure != nil {
		return nil, failure
	}
	return &Admitted{Request: req, Release: release}, nil
}

// keyedRefusal keeps the refusal of a keyed call from speaking for an earlier
// call under the same key.
func keyedRefusal(err error) error {
	var failure *runworks.Failure
	if !errors.As(err, &failure) {
		return err
	}
	failure.Outcome = runworks.OutcomeUnknown
	failure.IdleAttempt = true
	return failure
}

func findService(now *config.InForce, ask *Request) (*runworks.Service, error) {
	if ask.Service != "" {
		service := now.Service(ask.Service)
		if service == nil || service.Kind != runworks.KindPlain {
			return nil, runworks.NotRun(errorx.Decorate(runworks.ErrUnknownService, "%q", ask.Service), 0)
		}
		return service, nil
	}
	service := now.ServiceByModel(ask.Model)
	if service == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrUnknownModel, "%q", ask.Model), 0)
	}
	return service, nil
}

// newRequest builds the request that the rule allows.
func newRequest(now *config.InForce, customer *runworks.Customer, service *runworks.Service, rule *runworks.Rule, ask *Request) (*runworks.Request, error) {
	tier, err := chooseTier(now, rule, ask.Tier)
	if err != nil {
		return nil, err
	}
	key, err := usableKey(rule, ask.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	return &runworks.Request{
		ID: runworks.RequestID(uuid.NewString()), Call: ask.Call, Kind: service.Kind, Service: service.Name,
		Customer: customer.Name, Weight: customer.Weight, Tier: tier.Name, Rank: tier.Rank,
		Deadline: time.Now().Add(timeLimit(tier, rule, ask.Timeout)), Repeatable: !rule.NotRepeatable,
		IdempotencyKey: key, PromptTokens: ask.PromptTokens, MaxTokens: ask.MaxTokens,
	}, nil
}

// chooseTier takes the caller's wish if it is not above the rule's tier.
func chooseTier(now *config.InForce, rule *runworks.Rule, wish string) (*runworks.Tier, error) {
	highest := now.Tier(rule.Tier)
	if wish == "" {
		return highest, nil
	}
	tier := now.Tier(wish)
	if tier == nil {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrBadRequest, "no tier is named %q", wish), 0)
	}
	if tier.Rank < highest.Rank {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNoRule, "the rule allows tier %q at the highest", highest.Name), 0)
	}
	return tier, nil
}

// timeLimit takes the caller's wish up to what the rule allows.
func timeLimit(tier *runworks.Tier, rule *runworks.Rule, wish time.Duration) time.Duration {
	most := max(rule.MaxTimeout, tier.Timeout)
	if wish > 0 {
		return min(wish, most)
	}
	return tier.Timeout
}

// usableKey gives the key to go by. Only a UUIDv7 lets a home prove a key
// unused: another key is an error where the request must not run twice, and
// counts as none elsewhere.
func usableKey(rule *runworks.Rule, key string) (string, error) {
	if key == "" || minted(key) {
		return key, nil
	}
	if rule.NotRepeatable {
		return "", runworks.NotRun(errorx.Decorate(runworks.ErrBadRequest, "the Idempotency-Key of a request that is not repeatable must be a UUIDv7"), 0)
	}
	return "", nil
}

func minted(key string) bool {
	_, ok := idempotency.Minted(key)
	return ok
}
