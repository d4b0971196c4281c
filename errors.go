package runworks

import "github.com/joomcode/errorx"

// namespace groups the errors of this package.
var namespace = errorx.NewNamespace("runworks")

// sentinel builds a sentinel: its type carries no stack trace, as sentinels are
// made once at start.
func sentinel(name, message string) error {
	return errorx.NewType(namespace, name).ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("%s", message)
}

// Sentinel errors; test for them with errors.Is.
var (
	// ErrNoKey says that a call carried no key.
	ErrNoKey = sentinel("no_key", "the call carries no key")
	// ErrUnknownKey says that no customer owns the key.
	ErrUnknownKey = sentinel("unknown_key", "no customer has this key")
	// ErrUnknownModel says that no service offers the model.
	ErrUnknownModel = sentinel("unknown_model", "no service offers this model")
	// ErrUnknownService says that no service has the name.
	ErrUnknownService = sentinel("unknown_service", "no service has this name")
	// ErrNoRule says that no rule lets the customer use the service this way.
	ErrNoRule = sentinel("no_rule", "no rule allows this customer, kind and service")
	// ErrNoRoute says that no route fits the host and path.
	ErrNoRoute = sentinel("no_route", "no route fits this host and path")
	// ErrNoServer says that no backend server of the service is known.
	ErrNoServer = sentinel("no_server", "no backend server of this service is known")
	// ErrRejected says that the backend servers that were asked turned the call away.
	ErrRejected = sentinel("turned_away", "the backend servers turned the call away")
	// ErrLimit says that a limit of the customer is reached.
	ErrLimit = sentinel("customer_limit", "a limit of the customer is reached")
	// ErrQuarantined says that backend servers ended as they began to run the same request.
	ErrQuarantined = sentinel("quarantined", "backend servers ended as they began to run the same request")
	// ErrShortage says that every eligible backend server refused the request.
	ErrShortage = sentinel("shortage", "no backend server has room for the request")
	// ErrTimeLimit says that the time limit passed, or can't be met any more.
	ErrTimeLimit = sentinel("time_limit", "the request can't be finished inside its time limit")
	// ErrCallerDisconnected says that the caller closed its connection.
	ErrCallerDisconnected = sentinel("caller_left", "the caller closed its connection")
	// ErrStopping says that the process is stopping and takes no new work.
	ErrStopping = sentinel("stopping", "the process is stopping")
	// ErrNotReady says that no configuration is in force yet.
	ErrNotReady = sentinel("not_ready", "no configuration is in force yet")
	// ErrBadRequest says that the call itself is malformed.
	ErrBadRequest = sentinel("bad_request", "the call is malformed")
	// ErrTooLarge says that a body is larger than the bound.
	ErrTooLarge = sentinel("too_large", "the body is too large")
	// ErrNotDispatched says that a call provably never left for the backend server.
	ErrNotDispatched = sentinel("not_dispatched", "the call did not leave for the backend server")
	// ErrServerUnavailable says that a call did not leave, as its backend server said meanwhile that
	// it takes nothing more.
	ErrServerUnavailable = sentinel("withdrawn", "the backend server takes nothing more")
	// ErrBackend says that the backend server failed after the call had left.
	ErrBackend = sentinel("backend", "the backend server failed")
	// ErrOutcomeUnknown says that nobody can tell whether the request ran.
	ErrOutcomeUnknown = sentinel("unknown_fate", "it can't be told whether the request ran")
	// ErrGone says that what was asked for is decided or no longer kept.
	ErrGone = sentinel("gone", "no longer here")
	// ErrKeyReused says that a key came back with another request.
	ErrKeyReused = sentinel("key_reused", "the idempotency key was used for another request")
	// ErrKeySpent says that the key's request was not run and never will be.
	ErrKeySpent = sentinel("key_spent", "the key's request was not run and never will be; come back with a fresh key")
	// ErrAnswerGone says that the keyed request ran and its answer is no longer kept.
	ErrAnswerGone = sentinel("answer_gone", "already run, answer no longer kept")
	// ErrTruncated says that the log no longer holds the offset asked for.
	ErrTruncated = sentinel("truncated", "the log no longer holds this offset")
	// ErrStaleBase says that a configuration was based on an older version.
	ErrStaleBase = sentinel("based_on_older", "the file is based on an older version than the one in force")
)
