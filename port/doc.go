// Package port holds the interfaces through which a node meets the outside:
// the platform's log and cloud API, model engines and plain services.
// Adapters implement them over the network; fakes implement them for tests.
//
// Errors: every method turns the errors of its transport into the sentinel
// errors of this package, wrapped with context. Callers test them with
// errors.Is.
package port
