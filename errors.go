package runworks

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("runworks")

// sentinel returns a sentinel error. Its type omits the stack trace, because sentinels are
// created once, at program start.
func sentinel(name, message string) error {
	return errorx.NewType(namespace, name).ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("%s", message)
}

// Sentinel errors; test for them with errors.Is.
var (
	// ErrNoKey means that a call carried no API key.
	ErrNoKey = sentinel("no_key", "the call carries no key")
	// ErrUnknownKey means that the API key belongs to no customer.
	ErrUnknownKey = sentinel("unknown_key", "no customer has this key")
	// ErrUnknownModel means that no service offers the requested model.
	ErrUnknownModel = sentinel("unknown_model", "no service offers this model")
	// ErrUnknownService means that no service has the requested name.
	ErrUnknownService = sentinel("unknown_service", "no service has this name")
	// ErrNoRule means that no rule allows the customer to use the service for this kind of request.
	ErrNoRule = sentinel("no_rule", "no rule allows this customer, kind and service")
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = sentinel("no_route", "no route fits this host and path")
	// ErrNoServer means that no backend server of the service is known.
	ErrNoServer = sentinel("no_server", "no backend server of this service is known")
	// ErrUnknownStream means that it is not known which software version began the stream that a caller
	// resumes.
	ErrUnknownStream = sentinel("unknown_stream", "the software version that began the stream is not known")
	// ErrRejected means that the backend servers tried so far rejected the call.
	ErrRejected = sentinel("turned_away", "the backend servers turned the call away")
	// ErrLimit means that the customer reached one of its limits.
	ErrLimit = sentinel("customer_limit", "a limit of the customer is reached")
	// ErrQuarantined means that the request is blocked because backend servers exited when
	// they began to run it, or others with the same part in their prompts.
	ErrQuarantined = sentinel("quarantined", "backend servers exited as they began to run this request, or others with a part of its prompt")
	// ErrShortage means that no eligible backend server has capacity for the request.
	ErrShortage = sentinel("shortage", "no backend server has room for the request")
	// ErrMemory means that the entry holds too much for its calls to take another one.
	ErrMemory = sentinel("memory", "the entry has no memory for the request")
	// ErrTimeLimit means that the time limit has passed or can no longer be met.
	ErrTimeLimit = sentinel("time_limit", "the request can't be finished inside its time limit")
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected = sentinel("caller_left", "the caller closed its connection")
	// ErrStopping means that the process is shutting down and accepts no new work.
	ErrStopping = sentinel("stopping", "the process is stopping")
	// ErrNotReady means that no configuration is active yet.
	ErrNotReady = sentinel("not_ready", "no configuration is in force yet")
	// ErrBadRequest means that the call is malformed.
	ErrBadRequest = sentinel("bad_request", "the call is malformed")
	// ErrTooLarge means that a body exceeds the size limit.
	ErrTooLarge = sentinel("too_large", "the body is too large")
	// ErrNotDispatched means that a call was certainly not sent to the backend server.
	ErrNotDispatched = sentinel("not_dispatched", "the call did not leave for the backend server")
	// ErrServerUnavailable means that a call was not sent because its backend server, after it was
	// chosen, reported that it is draining or in back-off.
	ErrServerUnavailable = sentinel("withdrawn", "the backend server takes nothing more")
	// ErrBackend means that the backend server failed after the call was sent.
	ErrBackend = sentinel("backend", "the backend server failed")
	// ErrUnconfirmed means that the connection of a response without length or chunks ended, and that neither its
	// body nor the server confirms that the response is complete.
	ErrUnconfirmed = sentinel("unconfirmed", "the backend server does not confirm the end of its response")
	// ErrOutcomeUnknown means that it cannot be determined whether the request ran.
	ErrOutcomeUnknown = sentinel("unknown_fate", "it can't be told whether the request ran")
	// ErrGone means that the requested item is already decided or no longer stored.
	ErrGone = sentinel("gone", "no longer here")
	// ErrKeyReused means that an idempotency key was reused with a different request.
	ErrKeyReused = sentinel("key_reused", "the idempotency key was used for another request")
	// ErrKeySpent means that the request of an idempotency key was not run and never will be.
	ErrKeySpent = sentinel("key_spent", "the key's request was not run and never will be; come back with a fresh key")
	// ErrAnswerGone means that the request of an idempotency key ran, but its response
	// is no longer stored.
	ErrAnswerGone = sentinel("answer_gone", "already run, answer no longer kept")
	// ErrTruncated means that the log no longer holds the requested offset.
	ErrTruncated = sentinel("truncated", "the log no longer holds this offset")
	// ErrStaleBase means that a configuration was based on a version older than the active one.
	ErrStaleBase = sentinel("based_on_older", "the file is based on an older version than the one in force")
)
