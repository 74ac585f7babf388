package drain

import "time"

// Window is a maintenance window of a host or of an availability zone.
type Window struct {
	// Service is the service whose document contains the window; endpoints of
	// other services ignore it.
	Service string
	Zone    string
	Host    string
	Starts  time.Time
	Ends    time.Time
}

// covers reports whether the window applies to a host.
func (w Window) covers(host, zone string) bool {
	return (w.Host != "" && w.Host == host) || (w.Zone != "" && w.Zone == zone && w.Host == "")
}

// Schedule holds the known maintenance windows.
type Schedule struct {
	Windows []Window
	// LeadTime is how long before the start of a window its hosts leave.
	LeadTime time.Duration
}

// Entry returns the window for which an entry host must have left at a time: it
// leaves LeadTime before the start and may return at the end. If there are several,
// the one that starts first is returned.
func (s Schedule) Entry(host, zone string, now time.Time) (Window, bool) {
	return s.due("", host, zone, now)
}

// Endpoint is like Entry, for an endpoint of a service: windows of other services
// are ignored.
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
		if !w.covers(host, zone) || now.Before(w.Starts.Add(-s.LeadTime)) || !now.Before(w.Ends) {
			continue
		}
		if !found || w.Starts.Before(first.Starts) {
			first, found = w, true
		}
	}
	return first, found
}
