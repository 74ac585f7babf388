package fleet

import (
	"slices"
	"time"
)

// softwareRow is the history of one software version of a service.
type softwareRow struct {
	listed int // entries that are listed now
	seenAt time.Time
}

// softwareHistory holds the software versions of services, by service and version. Versions that are no longer
// listed are kept, because streams that began at them may still be continued.
type softwareHistory map[string]map[string]*softwareRow

func (h softwareHistory) row(service, version string) *softwareRow {
	versions := h[service]
	if versions == nil {
		versions = map[string]*softwareRow{}
		h[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &softwareRow{}
	}
	return versions[version]
}

func (h softwareHistory) list(now time.Time, e Endpoint) {
	row := h.row(e.Service, e.Version)
	row.listed++
	row.seenAt = now
}

func (h softwareHistory) unlist(now time.Time, e Endpoint) {
	row := h.row(e.Service, e.Version)
	row.listed--
	row.seenAt = now
}

// SoftwareVersions returns the software versions of a service that are listed, or were within window, sorted.
func (t *Table) SoftwareVersions(now time.Time, service string, window time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for version, row := range t.software[service] {
		if row.listed > 0 || now.Sub(row.seenAt) <= window {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// SoftwareAges returns, by service, how long ago each software version was last listed, within window. A service
// with one version is included: if all hosts end and that version is replaced before they are back, only what they
// reported tells the next processes of it.
func (t *Table) SoftwareAges(now time.Time, window time.Duration) map[string]map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]map[string]time.Duration{}
	for service, versions := range t.software {
		ages := map[string]time.Duration{}
		for version, row := range versions {
			switch {
			case row.listed > 0:
				ages[version] = 0
			case now.Sub(row.seenAt) <= window:
				ages[version] = now.Sub(row.seenAt)
			default:
				delete(versions, version)
			}
		}
		if len(ages) > 0 {
			out[service] = ages
		}
	}
	return out
}

// SoftwareSeen records that another host saw a software version listed at a time.
func (t *Table) SoftwareSeen(service, version string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.software.row(service, version); at.After(row.seenAt) {
		row.seenAt = at
	}
}
