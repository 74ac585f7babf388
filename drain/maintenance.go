package drain

import "time"

// Window is one maintenance date: of a host, or of an availability zone.
type Window struct {
	// Service published the date; endpoints of other services ignore it.
	Service string
	Zone    string
	Host    string
	Starts  time.Time
	Ends    time.Time
}

// covers reports whether the window is about a host.
func (w Window) covers(host, zone string) bool {
	return (w.Host != "" && w.Host == host) || (w.Zone != "" && w.Zone == zone && w.Host == "")
}

// Schedule holds the known maintenance dates.
type Schedule struct {
	Windows []Window
	// Lead is how long before the start of a window hosts leave.
	Lead time.Duration
}

// Entry returns the window for which an entry host has to leave at a time: it
// leaves Lead before the start, and may come back at the end. Of several the
// one that starts first counts.
func (s Schedule) Entry(host, zone string, now time.Time) (Window, bool) {
	return s.due("", host, zone, now)
}

// Endpoint is Entry for an endpoint of a service.
func (s Schedule) Endpoint(service, host, zone string, now time.Time) (Window, bool) {
	return s.due(service, host, zone, now)
}

func (s Schedule) due(service, host, zone string, now time.Time) (Window, bool) {
	var first Window
	found := false
	for _, w := range s.Windows {
		if service != "" && w.Service != service {
			continue
		}
		if !w.covers(host, zone) || now.Before(w.Starts.Add(-s.Lead)) || !now.Before(w.Ends) {
			continue
		}
		if !found || w.Starts.Before(first.Starts) {
			first, found = w, true
		}
	}
	return first, found
}
