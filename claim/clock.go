package claim

// logClock is the time of the log: the second latest time that any host has
// stamped a record with. It moves only when two hosts agree that it is at least
// that late, so a single host whose clock is wrong cannot move it. It never goes
// back, and is the same for all readers of the same records.
type logClock struct {
	// Latest holds the two latest stamps of different hosts, latest first.
	Latest [2]stamp `json:"latest"`
}

// stamp is the latest time that one host has stamped a record with, in
// milliseconds since 1970.
type stamp struct {
	Source string `json:"source"`
	At     int64  `json:"at"`
}

// observe takes in a record's stamp.
func (c *logClock) observe(source string, at int64) {
	switch {
	case source == c.Latest[0].Source:
		c.Latest[0].At = max(c.Latest[0].At, at)
	case source == c.Latest[1].Source:
		c.Latest[1].At = max(c.Latest[1].At, at)
	case at > c.Latest[1].At:
		c.Latest[1] = stamp{Source: source, At: at}
	}
	if c.Latest[1].At > c.Latest[0].At {
		c.Latest[0], c.Latest[1] = c.Latest[1], c.Latest[0]
	}
}

// now returns the time of the log, 0 before two hosts have written.
func (c *logClock) now() int64 { return c.Latest[1].At }
