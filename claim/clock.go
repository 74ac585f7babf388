package claim

// logClock is the time of the log. For each host there is a latest timestamp among
// its records; the time of the log is the second highest of these. So at least two
// hosts have written a timestamp that is at least as late, and a single host with a
// wrong clock cannot advance the time. It never goes back, and is the same for all
// readers of the same records.
type logClock struct {
	// Latest holds the two hosts with the latest timestamps, the latest first.
	Latest [2]hostTimestamp `json:"latest"`
}

// hostTimestamp is the latest timestamp of the records of one host, in
// milliseconds since 1970. Source is the host, as in record.Envelope.
type hostTimestamp struct {
	Source string `json:"source"`
	At     int64  `json:"at"`
}

// observe updates the clock with the timestamp of a record that the host source wrote.
func (c *logClock) observe(source string, at int64) {
	switch {
	case source == c.Latest[0].Source:
		c.Latest[0].At = max(c.Latest[0].At, at)
	case source == c.Latest[1].Source:
		c.Latest[1].At = max(c.Latest[1].At, at)
	case at > c.Latest[1].At:
		c.Latest[1] = hostTimestamp{Source: source, At: at}
	}
	if c.Latest[1].At > c.Latest[0].At {
		c.Latest[0], c.Latest[1] = c.Latest[1], c.Latest[0]
	}
}

// now returns the time of the log; 0 before two hosts have written.
func (c *logClock) now() int64 { return c.Latest[1].At }
