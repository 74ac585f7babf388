package claim

// logClock is the time of the log: the second highest of the latest timestamps
// of all hosts. It advances only if two hosts have written timestamps that are at
// least that late, so a single host with a wrong clock cannot advance it. It never
// goes back, and is the same for all readers of the same records.
type logClock struct {
	// Latest holds the latest timestamps of two different hosts, latest first.
	Latest [2]hostTimestamp `json:"latest"`
}

// hostTimestamp is the latest timestamp of the records of one host, in
// milliseconds since 1970.
type hostTimestamp struct {
	Source string `json:"source"`
	At     int64  `json:"at"`
}

// observe records the timestamp of a record from a host.
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
