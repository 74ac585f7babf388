// Package drain decides how hosts leave: the phases of an entry host's stop,
// who owns a request that is handed over, and what becomes of the streams on
// an endpoint that is taken back.
//
// It does no I/O and keeps no clock: time is passed in, and decisions are
// returned as values that package node carries out. Its types are not safe
// for concurrent use; the caller holds a lock of its own.
package drain
