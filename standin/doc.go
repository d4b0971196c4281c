// Package standin implements fakes of backend servers and of platform services
// for tests and for dev mode: a model engine, a plain service, a routed server,
// the log service, the store and the host list. The product does not use it.
package standin
