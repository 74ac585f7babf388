// Package drain decides how hosts are drained: the phases of an entry host's
// stop, which host owns a request during a handoff, and where the streams of a
// reclaimed endpoint continue.
//
// The package does no I/O and reads no clock: time is passed in, and decisions
// are returned as values that package node executes. Its types are not safe for
// concurrent use; the caller must hold a lock.
package drain
