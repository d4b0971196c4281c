// Package standin takes the place of backend servers and of the platform in
// tests and in dev: a model engine, a plain service, the log service and the
// host list. It is no part of the product.
package standin
