// Package rollout decides how the traffic of a service moves to a software version that an operator has
// ordered, and whether that version is taken back.
//
// A Machine belongs to one order. It is told what the endpoints of the target and of the other versions
// answered, judges the target by a sequential test against the others at the same moment, and states the
// fraction of requests that the target gets. A host applies the fraction to its own requests by Share.
package rollout
