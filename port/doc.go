// Package port holds the interfaces through which a process calls external systems:
// the platform's log, store and cloud API, other hosts, model engines and plain
// services. Adapters implement them over the network; fakes implement them for
// tests.
//
// Errors: every method converts the errors of its transport to the sentinel errors
// of this package, wrapped with context. Test for them with errors.Is.
package port
